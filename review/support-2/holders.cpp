// An order of the leader is under way to a runner when the link between the two is cut for a second. The leader
// is killed meanwhile, and another one takes over. See claim.txt of the case.

#include "Trial.h"

using namespace trial;

namespace
{

constexpr double kLeaseS = 3;        // `LeaseMs`; `FencingEnforced` is false.
constexpr double kThawS = 0.3;       // `ThawMs`.
constexpr double kCutS = 1.0;        // The link is cut from the order on.
constexpr double kRepeatedS = 1.4;   // Third repetition by TCP: 0.2, 0.6, 1.4 s after the first packet.
constexpr double kKillS = 0.5;       // From the order to the kill of its sender.
constexpr int kModels = 6;
constexpr double kWeightsMb = 65100;
constexpr double kRunnerMb = 210000;  // Room for three models.
constexpr double kLoadS = 0.57;

std::string modelName (int number) { return "m" + std::to_string (number); }

std::string configuration()
{
    std::string models;
    for (int number = 0; number < kModels; ++number)
    {
        models += std::string (number == 0 ? "" : ",") + "{\"Name\":\"" + modelName (number)
                  + "\",\"WeightsMb\":65100,\"LoadS\":2.9,\"Adapters\":0,\"AdapterSizeMb\":12.0,"
                    "\"WarmS\":0.57,\"DiskLoadS\":1.2}";
    }
    return R"({"Version":1,"Routes":[)"
           R"({"Name":"r-chat","Host":"a.example","PathPrefix":"/chat/","Type":"streaming","TimeoutMs":15000,"TargetLatencyMs":5000,"Priority":0,"Service":"llm","MaxAttempts":1,"Sticky":true,"Resumable":false,"GapTargetMs":300}],)"
           R"("Services":[{"Name":"llm","HealthPath":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCacheTokens":265792,"KvTokenBytes":163840,"LinkMbps":740000.0,"Stride":4,"UpperBound":12,"HostMemoryMb":450000.0,"DiskMb":450000.0,"Models":[)"
           + models
           + R"(],"WeightsMb":210000.0,"AdapterSlots":8,"LoadsPerS":4.2}}],)"
             R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

std::string fieldOf (const std::string& json, const std::string& name)
{
    const std::size_t found = json.find ("\"" + name + "\":");
    if (found == std::string::npos)
        return {};
    std::size_t begin = found + name.size() + 3;
    const bool isText = json[begin] == '"';
    begin += isText ? 1 : 0;
    return json.substr (begin, json.find_first_of (isText ? "\"" : ",}", begin) - begin);
}

struct Order
{
    double at;
    std::string holder;
    long fence;
};

/// A model runner and the link in front of it.
class Engine
{
public:
    explicit Engine (Cell& cell) : m_cell (cell)
    {
        m_address.host = cell.hostOf (200);
        m_listener = listenOn (m_address.host, 0, &m_address.port);
        m_models.insert (modelName (0));
        for (int number = 0; number < kModels; ++number)
            m_copies.insert (modelName (number));
        std::thread ([this] { accept(); }).detach();
        std::thread ([this] { beat(); }).detach();
    }

    std::vector<Order> orders() const
    {
        const std::lock_guard lock (m_mutex);
        return m_orders;
    }
    int served() const { return m_served; }
    /// The link is cut as the next order comes.
    void cutAtNextOrder() { m_isCutDue = true; }
    /// Order whose packets the cut has lost; none before.
    std::optional<Order> cutOrder() const
    {
        const std::lock_guard lock (m_mutex);
        return m_cutOrder;
    }

private:
    void accept()
    {
        while (true)
        {
            const int socket = ::accept4 (m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt (socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread ([this, socket] { serve (socket); }).detach();
        }
    }

    void serve (int socket)
    {
        Connection connection (socket);
        Message request;
        while (connection.read (request, now() + 3600, false))
        {
            const std::string path = request.path();
            bool isOpen = true;
            if (path == "/health")
                isOpen = connection.write (
                    answerText (200, { { "X-Fernlift-Instance-Id", m_id } }, ""));
            else if (path == "/fernlift/report")
                isOpen = connection.write (
                    answerText (200, { { "Content-Type", "application/json" } }, report()));
            else if (path == "/fernlift/order")
                isOpen = passOrder (request, connection);
            else
                isOpen = run (request, connection);
            if (! isOpen)
                return;
        }
    }

    /// The link: an order that it loses comes when the sender's system repeats it, unless the sender has
    /// reset the connection by then.
    bool passOrder (const Message& request, Connection& connection)
    {
        const Order sent{ now(), fieldOf (request.body, "Holder"),
                          std::atol (fieldOf (request.body, "FencingToken").c_str()) };
        if (! m_isCutDue.exchange (false))
            return connection.write (answerText (take (request), {}, ""));
        {
            const std::lock_guard lock (m_mutex);
            m_cutOrder = sent;
        }
        record().line ("link: is cut for %.1f s as an order of holder %s, fence %ld, is under way",
                       kCutS, sent.holder.c_str(), sent.fence);
        sleepFor (kRepeatedS);
        char byte = 0;
        const ssize_t count = ::recv (connection.socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            record().line ("link: the sender has reset the connection, the order is lost");
            return false;
        }
        record().line ("link: the order comes, %.1f s after the link healed", kRepeatedS - kCutS);
        return connection.write (answerText (take (request), {}, ""));
    }

    int take (const Message& request)
    {
        const std::lock_guard lock (m_mutex);
        const Order order{ now(), fieldOf (request.body, "Holder"),
                           std::atol (fieldOf (request.body, "FencingToken").c_str()) };
        m_orders.push_back (order);
        const std::string operation = fieldOf (request.body, "Operation");
        const std::string model = fieldOf (request.body, "Model");
        const std::string revision = fieldOf (request.body, "ExpectedRevision");
        const bool isLoad = operation == "load";
        int status = 202;
        if (m_isBusy || (! revision.empty() && std::atol (revision.c_str()) != m_sequence))
            status = 409;
        else if (isLoad == m_models.contains (model))
            status = 200;
        record().line ("runner: order from holder %s, fence %ld: %s %s -> %d", order.holder.c_str(),
                       order.fence, operation.c_str(), model.c_str(), status);
        if (status != 202)
            return status;
        const double used = static_cast<double> (m_models.size()) * kWeightsMb;
        if (isLoad && used + kWeightsMb > kRunnerMb)
            record().line ("runner: ordered to load more than it holds");
        ++m_sequence;
        m_isBusy = true;
        std::thread (
            [this, isLoad, model]
            {
                sleepFor (isLoad ? kLoadS : 0.05);
                const std::lock_guard done (m_mutex);
                if (isLoad)
                    m_models.insert (model);
                else
                    m_models.erase (model);
                m_isBusy = false;
                m_isChanged = true;
            })
            .detach();
        return status;
    }

    bool run (const Message& request, Connection& connection)
    {
        const std::string id = request.field ("X-Fernlift-Request-Id");
        bool isHeld = false;
        {
            const std::lock_guard lock (m_mutex);
            isHeld = m_models.contains (request.field ("X-Fernlift-Model"));
        }
        if (! isHeld || request.field ("X-Fernlift-Target-Instance") != m_id)
            return connection.write (answerText (
                421, { { "X-Fernlift-Request-Id", id }, { "X-Fernlift-Not-Executed", "1" } }, ""));
        sleepFor (0.05);
        ++m_served;
        return connection.write (answerText (
            200,
            { { "Content-Type", "text/event-stream" },
              { "X-Fernlift-Request-Id", id },
              { "X-Fernlift-Response-Signature", signatureOf (m_id, id) } },
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }

    std::string modelsJson() const
    {
        std::string text;
        for (const std::string& model : m_models)
            text += std::string (text.empty() ? "" : ",") + "{\"Name\":\"" + model
                    + "\",\"Version\":1,\"Adapters\":[]}";
        return "[" + text + "]";
    }

    std::string availableJson() const
    {
        std::string text;
        for (const std::string& model : m_copies)
            text += std::string (text.empty() ? "" : ",") + "\"" + model + "\"";
        return "{\"Resident\":[" + text + "],\"CachedOnDisk\":[" + text + "]}";
    }

    std::string report() const
    {
        const std::lock_guard lock (m_mutex);
        return "{\"Stage\":\"hybrid\",\"Models\":" + modelsJson()
               + ",\"Busy\":" + (m_isBusy ? "true" : "false")
               + ",\"Sequence\":" + std::to_string (m_sequence)
               + ",\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":265792,\"Handles\":0,"
                 "\"Available\":"
               + availableJson() + "}";
    }

    void beat()
    {
        while (true)
        {
            std::string body;
            {
                const std::lock_guard lock (m_mutex);
                m_isChanged = false;
                body = "{\"Service\":\"llm\",\"Address\":\"" + m_address.text()
                       + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\","
                         "\"ColdRemainingMs\":0,\"Stage\":\"hybrid\",\"Models\":"
                       + modelsJson() + ",\"Available\":" + availableJson()
                       + ",\"Sequence\":" + std::to_string (++m_beats) + "}";
            }
            m_cell.control ("POST", "/fernlift/instances/" + m_id + "/heartbeat", body, 1.0);
            const double until = now() + 1.2;
            while (now() < until && ! m_isChanged)
                sleepFor (0.02);
        }
    }

    Cell& m_cell;
    const std::string m_id = "i-llm";
    Address m_address;
    int m_listener = -1;
    mutable std::mutex m_mutex;
    std::set<std::string> m_models;
    std::set<std::string> m_copies;
    std::vector<Order> m_orders;
    std::optional<Order> m_cutOrder;
    std::atomic<bool> m_isCutDue{ false };
    std::atomic<bool> m_isChanged{ false };
    std::atomic<int> m_served{ 0 };
    bool m_isBusy = false;
    long m_sequence = 0;
    long m_beats = 0;
};

/// The controller that leads: its log says that it became the leader last.
std::size_t leaderOf (Cell& cell)
{
    std::size_t leader = 0;
    std::string latest;
    for (std::size_t number = 0; number < cell.controllers.size(); ++number)
    {
        std::ifstream log (cell.folder() + "/core-" + std::to_string (number + 1) + ".log");
        std::string line;
        while (std::getline (log, line))
        {
            if (line.find ("BecameLeader") == std::string::npos || line.substr (0, 27) < latest)
                continue;
            latest = line.substr (0, 27);
            leader = number;
        }
    }
    return leader;
}

}  // namespace

int main()
{
    ::signal (SIGPIPE, SIG_IGN);
    Cell cell (3, 2);
    cell.startAll();
    Engine engine (cell);
    if (! cell.replaceConfiguration (configuration()) || ! cell.awaitReady())
        finish (cell, 2, "the cell did not start");
    cell.endBootstrap();
    sleepFor (2.5);

    std::atomic<bool> isOver{ false };
    std::vector<std::thread> clients;
    for (int number = 0; number < 6; ++number)
    {
        clients.emplace_back (
            [&, number]
            {
                std::mt19937 random (static_cast<unsigned> (number));
                while (! isOver)
                {
                    const std::string model = modelName (static_cast<int> (random() % kModels));
                    static_cast<void> (
                        call (cell.routers[static_cast<std::size_t> (number % 2)].front, "POST",
                              "/chat/2f",
                              { { "Host", "a.example" },
                                { "X-Fernlift-Request-Id", nextId() },
                                { "X-Fernlift-Model", model },
                                { "X-Fernlift-Token-Usage", "1460,80" },
                                { "X-Fernlift-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660" },
                                { "X-Fernlift-Request-Deadline", "15000" } },
                              "{}", 16));
                    sleepFor (0.3);
                }
            });
    }
    sleepFor (12);
    std::optional<Order> cut;
    if (hasTrouble())
    {
        engine.cutAtNextOrder();
        const double until = now() + 20;
        while (! (cut = engine.cutOrder()) && now() < until)
            sleepFor (0.002);
        if (! cut)
            finish (cell, 2, "no order came");
        sleepFor (cut->at + kKillS - now());
        const std::size_t leader = leaderOf (cell);
        record().line ("platform: kills %s, which leads",
                       cell.controllers[leader].process->name().c_str());
        cell.controllers[leader].process->killAndReap();
        sleepFor (1);
        cell.controllers[leader].process->start();
    }
    sleepFor (12);
    isOver = true;

    // The rule: orders of two holders to one runner within `LeaseMs` of each other. Orders within `ThawMs`
    // after a link healed don't count.
    const std::vector<Order> orders = engine.orders();
    std::set<std::string> holders;
    double closest = 1e9;
    std::string pair;
    for (std::size_t number = 0; number < orders.size(); ++number)
    {
        holders.insert (orders[number].holder);
        if (number == 0 || orders[number].holder == orders[number - 1].holder)
            continue;
        const double gap = orders[number].at - orders[number - 1].at;
        const bool isExcused = cut && orders[number - 1].at < cut->at + kCutS + kThawS
                               && orders[number - 1].at > cut->at + kCutS;
        if (gap < closest && ! isExcused)
        {
            closest = gap;
            pair = "fence " + std::to_string (orders[number - 1].fence) + " and then fence "
                   + std::to_string (orders[number].fence);
        }
    }
    char gap[150] = "";
    if (holders.size() > 1)
    {
        std::snprintf (gap, sizeof gap,
                       "; the closest of two holders are %.2f s apart (%s), %.0f s are required", closest,
                       pair.c_str(), kLeaseS);
    }
    char text[300];
    std::snprintf (text, sizeof text, "%zu orders of %zu holders%s; %d requests served",
                   orders.size(), holders.size(), gap, engine.served());
    if (orders.size() < 5 || (hasTrouble() && holders.size() < 2))
        finish (cell, 2, std::string ("too little to judge; ") + text);
    finish (cell, closest < kLeaseS ? 1 : 0, text);
}
