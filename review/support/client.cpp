#include "review/support/client.h"

#include "review/support/deployment.h"

namespace review {

static constexpr milliseconds connectTimeout { 1000 };

char const* toString(outcome of)
{
    switch (of) {
    case outcome::answered:
        return "answered";
    case outcome::cut:
        return "cut, no answer";
    case outcome::not_sent:
        return "no connection";
    case outcome::timed_out:
        break;
    }
    return "no answer in time";
}

client_request send(connection& over, std::string const& machine, std::string const& method, std::string const& target, std::string const& attemptId, milliseconds deadline, std::string const& body, record& to)
{
    client_request sent { .attemptId = attemptId, .machine = machine };
    if (!over.isOpen())
        over = connection::open(machine, connectTimeout);
    auto const request = formatRequest(method, target, { { "Host", small_deployment::host }, { "Zinnialedge-Attempt-Id", attemptId }, { "Zinnialedge-Deadline-Ms", std::to_string(deadline.count()) } }, body);
    if (over.isOpen() && over.write(request)) {
        sent.sentAt = clock::now();
        to.write("client sends " + attemptId + " to " + machine);
        auto const answer = over.read(sent.sentAt + deadline);
        bool const isWhole = answer && answer->isComplete;
        sent.end = isWhole ? outcome::answered : over.hasEnded() ? outcome::cut
                                                                 : outcome::timed_out;
        if (isWhole) {
            sent.status = answer->status();
            sent.body = answer->body;
            sent.seal = answer->header("zinnialedge-server-seal");
        }
        if (!isWhole || answer->header("connection") == "close")
            over.close();
    } else {
        over.close();
    }
    sent.endedAt = clock::now();
    to.write("client " + attemptId + " " + toString(sent.end) + (sent.status ? " " + std::to_string(sent.status) : ""));
    return sent;
}

}
