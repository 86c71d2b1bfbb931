#include "proxy/Exchange.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <string_view>
#include <utility>

#include "http/ErrorResponse.h"
#include "proxy/ForwardedMessage.h"

namespace fernlift::proxy {
namespace {

using base::ErrorKind;

/// Answers up to this size are passed on once they are whole, so that a cut one can be replaced.
constexpr std::size_t kCollectedBytes = 256UL * 1024;
constexpr std::uint32_t kMostUnreachable = 16;
constexpr int kMisdirected = 421;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;
constexpr base::Duration kRetrySoon = base::milliseconds(100);
constexpr base::Duration kRetryAfterWait = base::milliseconds(200);
constexpr base::Duration kLongestLoad = base::seconds(3);
/// Share of a request's time that it may wait for a runner, in hundredths.
constexpr int kWaitShare = 45;
constexpr int kWhole = 100;
constexpr base::Duration kLongestWaitForRoutes = base::seconds(3);
constexpr base::Duration kDefaultDeadline = base::seconds(30);
/// The runner is told a little less than what is left, so that its answer still arrives.
constexpr base::Duration kAnswerTravel = base::milliseconds(5);
/// A repeatable request is tried elsewhere when a runner is silent for this many times its target.
constexpr int kSilenceInTargets = 2;
constexpr base::Duration kShortestStreamSilence = base::milliseconds(800);
constexpr base::Duration kShortestFirstEvent = base::milliseconds(1500);
constexpr base::Duration kShortestSilence = base::milliseconds(150);

std::string retryAfterText(base::Duration duration) {
  std::array<char, 32> text{};
  const double seconds = std::chrono::duration<double>(duration).count();
  const int length = std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return {text.data(), static_cast<std::size_t>(length)};
}

/// The parts of a prompt but the last, which is the request's own.
std::string sharedParts(const std::string& parts) {
  const std::size_t comma = parts.rfind(',');
  return comma == std::string::npos ? std::string() : parts.substr(0, comma);
}

/// Tokens of the parts of a prompt, each ID:TOKENS.
std::uint64_t tokensOf(std::string_view parts) {
  std::uint64_t total = 0;
  while (!parts.empty()) {
    const std::size_t comma = parts.find(',');
    const std::string_view part = parts.substr(0, comma);
    const std::size_t colon = part.find(':');
    std::uint64_t tokens = 0;
    if (colon != std::string_view::npos) {
      const std::string_view text = part.substr(colon + 1);
      std::from_chars(text.data(), text.data() + text.size(), tokens);
    }
    total += tokens;
    parts.remove_prefix(comma == std::string_view::npos ? parts.size() : comma + 1);
  }
  return total;
}

}  // namespace

Exchange::Exchange(ProxyContext& context, CallerConnection& caller, ParsedRequest request,
                   std::function<void(Exchange&)> onEnd)
    : context_(context),
      caller_(caller),
      request_(std::move(request)),
      onEnd_(std::move(onEnd)),
      routes_(context.routes),
      arrivedAt_(context.clock.now()) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { onTimer(); });
}

Exchange::~Exchange() {
  if (connection_) connection_->detach();
}

void Exchange::begin() {
  ++context_.counters.requests;
  stated_ = statedDeadline(request_, context_.names).value_or(kDefaultDeadline);
  deadline_ = arrivedAt_ + stated_;
  if (findRoute()) tryNext();
}

bool Exchange::findRoute() {
  routes_ = context_.routes;
  if (!routes_) {
    // A router that has just started hears of the configuration in a moment.
    isWaitingForRoutes_ = true;
    deadline_ = arrivedAt_ + std::min<base::Duration>(stated_ / 2, kLongestWaitForRoutes);
    armTimer();
    return false;
  }
  isWaitingForRoutes_ = false;
  route_ = routes_->find(request_.headers.value("Host"), request_.path());
  if (route_ == nullptr) {
    sendError({ErrorKind::kNotFound, "no route leads there"}, std::nullopt);
    return false;
  }
  deadline_ = arrivedAt_ + std::min(stated_, route_->timeout);
  query_.service = RouteTable::chooseService(*route_, context_.random.uniformReal());
  readModel();
  context_.retryBudget.onFirstAttempt();
  return true;
}

void Exchange::readModel() {
  const config::Service* service = routes_->catalogue().findService(query_.service);
  if (service == nullptr || !service->engine) return;
  const std::string name = request_.headers.value(context_.names.model);
  const std::size_t slash = name.find('/');
  query_.model = name.substr(0, slash);
  if (slash != std::string::npos) query_.adapter = name.substr(slash + 1);
  const std::string parts = request_.headers.value(context_.names.promptParts);
  const std::string shared = sharedParts(parts);
  query_.affinity = name + "," + shared;
  query_.sharedTokens = tokensOf(shared);
  query_.promptTokens = tokensOf(parts);
  target_ = {query_.service, query_.model, query_.adapter};
  if (!query_.model.empty()) context_.demands.onArrival(target_);
}

void Exchange::tryNext() {
  if (now() >= deadline_) {
    onTimer();
    return;
  }
  const InstanceChoice choice = context_.directory.choose(query_, now());
  if (choice.reason == NoChoice::kNone) {
    endWait();
    startAttempt(choice);
  } else {
    beginWait(choice.reason);
  }
}

void Exchange::beginWait(NoChoice reason) {
  if (isWaiting_) return;
  isWaiting_ = true;
  waitBegan_ = now();
  // A runner that comes later than this would answer too late; the caller had better ask again.
  const base::Duration limit =
      std::min<base::Duration>(stated_ * kWaitShare / kWhole, route_->targetLatency + kLongestLoad);
  waitDeadline_ = std::min(deadline_, std::max(arrivedAt_ + limit, now()));
  log::write(log::Event::kRequestWaits,
             {{"request", request_.headers.value(context_.names.requestId)},
              {"service", query_.service},
              {"model", query_.model},
              {"adapter", query_.adapter},
              {"cause", nameOf(reason)},
              {"table", context_.directory.version()}});
  if (!query_.model.empty()) {
    context_.demands.onWaiting(target_);
    context_.onUrgentDemand();
  }
  armTimer();
}

void Exchange::endWait() {
  if (!std::exchange(isWaiting_, false)) return;
  waited_ += now() - waitBegan_;
  if (!query_.model.empty()) context_.demands.onWaitEnd(target_);
}

void Exchange::onDirectoryChanged() {
  if (isEnded_) return;
  if (isWaitingForRoutes_ && context_.routes) {
    if (findRoute()) tryNext();
  } else if (isWaiting_) {
    tryNext();
  }
}

void Exchange::startAttempt(const InstanceChoice& choice) {
  const auto address =
      base::handleErrors([&] { return base::SocketAddress::parse(choice.address); },
                         [](const base::Error&) { return base::SocketAddress(); });
  instance_ = choice.id;
  use_ = AnswerUse::kNone;
  collected_.clear();
  attemptDeadline_ = deadline_;
  AttemptFields fields;
  fields.instance = choice.id;
  fields.left = std::max<base::Duration>(deadline_ - now() - kAnswerTravel, base::milliseconds(1));
  fields.priority = route_->priority;
  if (events_) fields.lastEventId = events_->lastId();
  http::BackEndConnection::Call call;
  call.bytes = requestBytes(request_, context_.names, fields);
  call.answerHasBody = request_.method != "HEAD";
  call.requestIdHeader = context_.names.requestId;
  call.requestId = request_.headers.value(context_.names.requestId);
  ++context_.counters.attempts;
  context_.directory.onAttemptBegin(instance_, query_.promptTokens, now());
  isPromptRead_ = false;
  if (!query_.model.empty()) context_.demands.onRunning(target_);
  connection_ = context_.pool.acquire(address, now());
  armTimer();
  connection_->send(std::move(call), this);
}

void Exchange::onSent() {
  ++sent_;
  isAttemptSent_ = true;
  noteProgress();
  armTimer();
}

void Exchange::noteProgress() {
  const std::optional<base::Duration> silence = longestSilence();
  attemptDeadline_ = silence ? std::min(deadline_, now() + *silence) : deadline_;
}

std::optional<base::Duration> Exchange::longestSilence() const {
  const bool mayTryElsewhere = route_->isRepeatable() && sent_ < route_->maximumAttempts;
  if (!mayTryElsewhere) return std::nullopt;
  if (route_->kind == config::RouteKind::kRepeatable) {
    return std::max<base::Duration>(route_->targetLatency * kSilenceInTargets, kShortestSilence);
  }
  if (isAnswerBegun_) {
    return std::max<base::Duration>(route_->gapTarget * kSilenceInTargets, kShortestStreamSilence);
  }
  return std::max<base::Duration>(route_->targetLatency / 2, kShortestFirstEvent);
}

void Exchange::armTimer() {
  const base::TimePoint due = isWaiting_ ? waitDeadline_ : std::min(deadline_, attemptDeadline_);
  const auto wait = std::max<base::Duration>(due - now(), base::Duration::zero());
  timer_.start(std::chrono::ceil<base::milliseconds>(wait));
}

void Exchange::onWaitOver() {
  endWait();
  if (isAnswerBegun_) {
    cut();
  } else if (mayHaveRun_) {
    fail(ErrorKind::kUpstreamBroken, "no other runner could take the request in time");
  } else {
    refuse(ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
           kRetryAfterWait);
  }
}

void Exchange::onTimer() {
  if (isEnded_) return;
  if (isWaiting_ && now() >= waitDeadline_) {
    onWaitOver();
    return;
  }
  if (now() < deadline_) {
    const bool isSilent = connection_ && isAttemptSent_ && now() >= attemptDeadline_;
    if (isSilent) {
      endAttempt(AttemptEnd::kFailed, false);
      afterFailure();
      return;
    }
    armTimer();
    return;
  }
  if (isWaitingForRoutes_) {
    refuse(ErrorKind::kLeaseExpired, "no configuration is known yet", kRetrySoon);
    return;
  }
  if (connection_) endAttempt(AttemptEnd::kAbandoned, false);
  if (isAnswerBegun_) {
    cut();
  } else if (mayHaveRun_) {
    fail(ErrorKind::kUpstreamTimeout, "the time of the request is over");
  } else {
    refuse(ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
           kRetryAfterWait);
  }
}

void Exchange::endAttempt(AttemptEnd end, bool mayReuse) {
  std::shared_ptr<http::BackEndConnection> connection = std::move(connection_);
  connection_.reset();
  if (!connection) return;
  connection->detach();
  if (std::exchange(isAttemptSent_, false)) mayHaveRun_ = true;
  notePromptRead();
  context_.directory.onAttemptEnd(instance_, end, now());
  if (!query_.model.empty()) context_.demands.onRunEnd(target_);
  if (mayReuse) context_.pool.release(std::move(connection), now());
}

void Exchange::notePromptRead() {
  if (std::exchange(isPromptRead_, true)) return;
  context_.directory.onAnswerBegun(instance_, query_.promptTokens);
}

void Exchange::noteLoad(const http::AnswerHead& head) {
  if (context_.names.load.empty()) return;
  const std::string text = head.headers.value(context_.names.load);
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  const char* const end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), end, running);
  if (first.ec != std::errc() || first.ptr == end) return;
  const auto second = std::from_chars(first.ptr + 1, end, waiting);
  if (second.ec != std::errc()) return;
  context_.directory.onLoad(instance_, running, waiting, now());
}

void Exchange::onHead(http::AnswerHead head) {
  noteLoad(head);
  notePromptRead();
  context_.directory.onBytes(instance_, now());
  if (!isAnswerBegun_) answeredAt_ = now();
  head_ = std::move(head);
  const bool isRefusal =
      head_.status == kMisdirected || head_.headers.contains(context_.names.notExecuted);
  if (isRefusal) {
    use_ = AnswerUse::kRefusal;
    return;
  }
  if (events_) {  // A resumed stream keeps the head of its first runner.
    const bool isStream = head_.status < kFirstErrorStatus;
    use_ = isStream ? AnswerUse::kEvents : AnswerUse::kRetry;
    return;
  }
  if (head_.status >= kFirstServerError && mayRunAgain()) {
    use_ = AnswerUse::kRetry;
    return;
  }
  const bool isEventStream = head_.headers.value("Content-Type").starts_with("text/event-stream") &&
                             route_->kind == config::RouteKind::kStream;
  if (isEventStream) {
    use_ = AnswerUse::kEvents;
    events_.emplace();
    passHead();
    return;
  }
  const bool isSmall = !head_.hasLength || head_.length <= kCollectedBytes;
  use_ = isSmall ? AnswerUse::kCollect : AnswerUse::kPass;
  if (!isSmall) passHead();
}

void Exchange::passHead() {
  isAnswerBegun_ = true;
  const AnswerFraming framing{head_.hasLength, head_.length};
  caller_.beginAnswer(head_.status, passedAnswerHeaders(head_.headers), framing);
}

void Exchange::onBody(std::string_view data) {
  context_.directory.onBytes(instance_, now());
  noteProgress();
  switch (use_) {
    case AnswerUse::kCollect:
      collected_.append(data);
      if (collected_.size() > kCollectedBytes) {
        use_ = AnswerUse::kPass;
        passHead();
        caller_.writeBody(std::exchange(collected_, {}));
      }
      return;
    case AnswerUse::kPass:
      caller_.writeBody(data);
      return;
    case AnswerUse::kEvents:
      caller_.writeBody(events_->feed(data));
      return;
    case AnswerUse::kNone:
    case AnswerUse::kRefusal:
    case AnswerUse::kRetry:
      return;
  }
}

void Exchange::onDone() {
  switch (use_) {
    case AnswerUse::kRefusal: {
      isAttemptSent_ = false;
      const bool isNotHeld = head_.status == kMisdirected;
      if (isNotHeld) {
        context_.directory.onNotHeld(instance_, query_.model, query_.adapter, now());
      }
      endAttempt(isNotHeld ? AttemptEnd::kNotHeld : AttemptEnd::kRefused, true);
      // A runner that does not hold what it was asked for, or is another instance, is no attempt.
      if (isNotHeld) --sent_;
      afterRefusal();
      return;
    }
    case AnswerUse::kRetry:
      endAttempt(AttemptEnd::kFailed, true);
      afterFailure();
      return;
    default:
      finishAnswer();
  }
}

void Exchange::finishAnswer() {
  if (use_ == AnswerUse::kCollect) {
    caller_.sendAnswer(head_.status, passedAnswerHeaders(head_.headers), collected_);
  } else {
    if (use_ == AnswerUse::kEvents) caller_.writeBody(events_->rest());
    caller_.endAnswer();
  }
  const bool isFailure = head_.status >= kFirstServerError;
  endAttempt(isFailure ? AttemptEnd::kFailed : AttemptEnd::kAnswered, true);
  ++context_.counters.answered;
  logEnd(log::Event::kRequestAnswered, std::to_string(head_.status));
  end();
}

void Exchange::onFailed(http::BackEndFailure failure) {
  if (failure == http::BackEndFailure::kNotConnected) {
    endAttempt(AttemptEnd::kUnreachable, false);
    query_.avoidedInstance = instance_;
    if (++unreachable_ < kMostUnreachable) {
      tryNext();
    } else if (isAnswerBegun_) {
      cut();
    } else if (mayHaveRun_) {
      fail(ErrorKind::kUpstreamBroken, "no runner could be reached again");
    } else {
      refuse(ErrorKind::kNoCapacity, "no runner can be reached", kRetrySoon);
    }
    return;
  }
  endAttempt(AttemptEnd::kFailed, false);
  afterFailure();
}

bool Exchange::mayRunAgain() {
  if (!route_->isRepeatable() || sent_ >= route_->maximumAttempts) return false;
  if (now() >= deadline_) return false;
  return context_.retryBudget.allowsRetry();
}

void Exchange::afterRefusal() {
  query_.avoidedInstance = instance_;
  const bool hasAttempts = sent_ < route_->maximumAttempts;
  if (hasAttempts && context_.retryBudget.tryRetry()) {
    ++context_.counters.retries;
    logMove(log::Event::kRequestResent);
    tryNext();
  } else if (isAnswerBegun_) {
    cut();
  } else if (mayHaveRun_) {
    fail(ErrorKind::kUpstreamBroken, "an earlier attempt failed and the last one was refused");
  } else {
    refuse(ErrorKind::kUpstreamRefused, "the runner has no room for the request", kRetrySoon);
  }
}

void Exchange::afterFailure() {
  query_.avoidedInstance = instance_;
  if (events_) events_->dropRest();
  const bool mayGoOn = mayRunAgain() && context_.retryBudget.tryRetry();
  if (mayGoOn) {
    ++(isAnswerBegun_ ? context_.counters.resumed : context_.counters.retries);
    logMove(isAnswerBegun_ ? log::Event::kRequestResumed : log::Event::kRequestResent);
    tryNext();
  } else if (isAnswerBegun_) {
    cut();
  } else {
    fail(ErrorKind::kUpstreamBroken, "the runner gave no whole answer");
  }
}

void Exchange::logEnd(log::Event event, const std::string& cause) const {
  const auto sinceArrival = [this](base::TimePoint time) {
    return time == base::TimePoint{} ? -1 : base::toMilliseconds(time - arrivedAt_);
  };
  log::write(event, {{"request", request_.headers.value(context_.names.requestId)},
                     {"route", route_ == nullptr ? std::string() : route_->name},
                     {"configuration", routes_ ? routes_->version() : 0},
                     {"service", query_.service},
                     {"model", query_.model},
                     {"adapter", query_.adapter},
                     {"runner", instance_},
                     {"table", context_.directory.version()},
                     {"table_age_ms", context_.directory.ageMilliseconds(now())},
                     {"attempts", sent_},
                     {"unreachable", unreachable_},
                     {"waited_ms", base::toMilliseconds(waited_)},
                     {"head_ms", sinceArrival(answeredAt_)},
                     {"total_ms", sinceArrival(now())},
                     {"cause", cause}});
}

void Exchange::logMove(log::Event event) const {
  log::write(event, {{"request", request_.headers.value(context_.names.requestId)},
                     {"from_runner", instance_},
                     {"status", head_.status},
                     {"attempts", sent_},
                     {"last_event", events_ ? events_->lastId().value_or("") : std::string()}});
}

void Exchange::refuse(ErrorKind kind, const std::string& message, base::Duration retryAfter) {
  ++context_.counters.refused;
  logEnd(log::Event::kRequestRefused, message);
  sendError({kind, message}, retryAfter);
}

void Exchange::fail(ErrorKind kind, const std::string& message) {
  ++context_.counters.failed;
  logEnd(log::Event::kRequestFailed, message);
  sendError({kind, message}, std::nullopt);
}

void Exchange::sendError(const base::Error& error, std::optional<base::Duration> retryAfter) {
  http::Response response = http::errorResponse(error);
  if (retryAfter) response.headers.set("Retry-After", retryAfterText(*retryAfter));
  const std::string id = request_.headers.value(context_.names.requestId);
  if (!id.empty()) response.headers.set(context_.names.requestId, id);
  caller_.sendAnswer(response.status, response.headers, response.body);
  end();
}

void Exchange::cut() {
  ++context_.counters.failed;
  logEnd(log::Event::kRequestFailed, "the stream broke off and cannot go on");
  caller_.abort();
  end();
}

void Exchange::onCallerLeft() {
  if (isEnded_) return;
  ++context_.counters.left;
  logEnd(log::Event::kCallerLeft, "the caller left");
  if (connection_) endAttempt(AttemptEnd::kAbandoned, false);
  end();
}

void Exchange::end() {
  if (std::exchange(isEnded_, true)) return;
  timer_.stop();
  endWait();
  onEnd_(*this);
}

}  // namespace fernlift::proxy
