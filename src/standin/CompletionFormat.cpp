#include "standin/CompletionFormat.h"

#include "engine/JsonFields.h"
#include "engine/PromptBlocks.h"

namespace fernlift::standin
{
namespace
{

using engine::jsonInteger;
using engine::jsonText;

QJsonArray oneChoice (const QJsonObject& choice)
{
    QJsonObject whole = choice;
    whole[QLatin1String ("index")] = 0;
    return { whole };
}

QJsonObject answerObject (const CompletionRequest& request, const std::string& id,
                          std::string_view chatKind)
{
    QJsonObject object;
    object[QLatin1String ("id")] = jsonText (id);
    object[QLatin1String ("object")] =
        jsonText (request.isChat ? chatKind : std::string_view ("text_completion"));
    object[QLatin1String ("model")] = jsonText (request.model);
    return object;
}

void readMessage (engine::JsonFields& fields, ChatMessage& message)
{
    fields.readText ("role", &message.role).readText ("content", &message.content);
}

}  // namespace

std::string chatPrompt (const std::vector<ChatMessage>& messages)
{
    std::string prompt;
    for (const auto& message : messages)
        prompt += engine::chatMessageText (message.role, message.content);
    return prompt;
}

base::Result<CompletionRequest> parseCompletion (std::string_view json, bool isChat)
{
    auto object = engine::parseJsonObject (json);
    if (! object)
        return object.error();
    engine::JsonFields fields (object.value());
    CompletionRequest request;
    request.isChat = isChat;
    fields.readText ("model", &request.model);
    if (isChat)
    {
        std::vector<ChatMessage> messages;
        fields.readObjects<ChatMessage> ("messages", &messages, readMessage);
        request.prompt = chatPrompt (messages);
    }
    else
    {
        fields.readText ("prompt", &request.prompt);
    }
    if (fields.has ("max_tokens"))
        fields.readInteger ("max_tokens", &request.maxTokens);
    if (fields.has ("stream"))
        fields.readBoolean ("stream", &request.isStreaming);
    auto finished = fields.finish();
    if (! finished)
        return finished.error();
    return request;
}

std::string streamEvent (const CompletionRequest& request, const std::string& id,
                         std::uint64_t offset, const std::string& text)
{
    QJsonObject choice;
    if (request.isChat)
    {
        choice[QLatin1String ("delta")] =
            QJsonObject{ { QLatin1String ("content"), jsonText (text) } };
    }
    else
    {
        choice[QLatin1String ("text")] = jsonText (text);
    }
    choice[QLatin1String ("finish_reason")] = QJsonValue();
    QJsonObject object = answerObject (request, id, "chat.completion.chunk");
    object[QLatin1String ("offset")] = jsonInteger (offset);
    object[QLatin1String ("choices")] = oneChoice (choice);
    return "data: " + engine::writeJson (object) + "\n\n";
}

std::string lastStreamEvent() { return "data: [DONE]\n\n"; }

std::string wholeAnswer (const CompletionRequest& request, const std::string& id,
                         const std::string& text, std::uint64_t tokens)
{
    QJsonObject choice;
    if (request.isChat)
    {
        choice[QLatin1String ("message")] =
            QJsonObject{ { QLatin1String ("role"), jsonText ("assistant") },
                         { QLatin1String ("content"), jsonText (text) } };
    }
    else
    {
        choice[QLatin1String ("text")] = jsonText (text);
    }
    choice[QLatin1String ("finish_reason")] = jsonText ("length");
    QJsonObject object = answerObject (request, id, "chat.completion");
    object[QLatin1String ("choices")] = oneChoice (choice);
    object[QLatin1String ("usage")] =
        QJsonObject{ { QLatin1String ("completion_tokens"), jsonInteger (tokens) } };
    return engine::writeJson (object);
}

}  // namespace fernlift::standin
