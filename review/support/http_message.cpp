#include "review/support/http_message.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

static constexpr std::size_t readChunkBytes = 65'536;
static constexpr int backlog = 512;

static std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

static std::string word(std::string const& line, std::size_t index)
{
    std::size_t start = 0;
    for (std::size_t count = 0; count < index && start != std::string::npos; ++count) {
        start = line.find(' ', start);
        start += start == std::string::npos ? 0 : 1;
    }
    return start == std::string::npos ? std::string {} : line.substr(start, line.find(' ', start) - start);
}

std::string http_message::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string {} : found->second;
}

std::string http_message::method() const { return word(startLine, 0); }

std::string http_message::target() const { return word(startLine, 1); }

int http_message::status() const
{
    auto const text = word(startLine, 1);
    int value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

static sockaddr_in toSocketAddress(std::string const& address, unsigned port)
{
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, address.c_str(), &place.sin_addr);
    return place;
}

static sockaddr* asGeneric(sockaddr_in& place)
{
    return reinterpret_cast<sockaddr*>(&place);
}

connection::connection(connection&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
    , m_buffer(std::move(other.m_buffer))
    , m_hasEnded(other.m_hasEnded)
{
}

connection& connection::operator=(connection&& other) noexcept
{
    if (this == &other)
        return *this;
    close();
    m_socket = std::exchange(other.m_socket, -1);
    m_buffer = std::move(other.m_buffer);
    m_hasEnded = other.m_hasEnded;
    return *this;
}

connection connection::open(std::string const& address, milliseconds timeout, std::string const& source)
{
    auto const separator = address.rfind(':');
    unsigned port = 0;
    std::from_chars(address.data() + separator + 1, address.data() + address.size(), port);
    auto place = toSocketAddress(address.substr(0, separator), port);
    connection created { ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) };
    if (!source.empty()) {
        auto local = toSocketAddress(source, 0);
        ::bind(created.m_socket, asGeneric(local), sizeof(local));
    }
    if (::connect(created.m_socket, asGeneric(place), sizeof(place)) != 0) {
        pollfd waiting { created.m_socket, POLLOUT, 0 };
        int failure = errno;
        if (failure == EINPROGRESS && ::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0) {
            socklen_t length = sizeof(failure);
            ::getsockopt(created.m_socket, SOL_SOCKET, SO_ERROR, &failure, &length);
        }
        if (failure != 0)
            return connection {};
    }
    int const isEnabled = 1;
    ::setsockopt(created.m_socket, IPPROTO_TCP, TCP_NODELAY, &isEnabled, sizeof(isEnabled));
    return created;
}

bool connection::write(std::string const& bytes)
{
    static constexpr int writeTimeoutMs = 5000;
    std::size_t written = 0;
    while (written < bytes.size()) {
        auto const count = ::send(m_socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count > 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        pollfd waiting { m_socket, POLLOUT, 0 };
        if (count < 0 && errno == EAGAIN && ::poll(&waiting, 1, writeTimeoutMs) > 0)
            continue;
        return false;
    }
    return true;
}

bool connection::fill(time_point until)
{
    while (true) {
        std::string chunk(readChunkBytes, '\0');
        auto const count = ::recv(m_socket, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_buffer.append(chunk, 0, static_cast<std::size_t>(count));
            return true;
        }
        if (count == 0 || errno != EAGAIN) {
            m_hasEnded = true;
            return false;
        }
        auto const left = std::chrono::ceil<milliseconds>(until - clock::now());
        if (left.count() <= 0)
            return false;
        pollfd waiting { m_socket, POLLIN, 0 };
        ::poll(&waiting, 1, static_cast<int>(left.count()));
    }
}

std::optional<http_message> connection::readNext(milliseconds wait, milliseconds completeWithin)
{
    if (m_buffer.empty() && !fill(clock::now() + wait))
        return std::nullopt;
    return read(clock::now() + completeWithin);
}

std::optional<http_message> connection::read(time_point until)
{
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            if (m_buffer.empty())
                return std::nullopt;
            http_message partial;
            partial.startLine = m_buffer.substr(0, m_buffer.find("\r\n"));
            return partial;
        }
    }
    http_message message;
    auto const head = m_buffer.substr(0, headEnd + 2);
    m_buffer.erase(0, headEnd + 4);
    message.startLine = head.substr(0, head.find("\r\n"));
    for (auto start = message.startLine.size() + 2; start < head.size();) {
        auto const end = head.find("\r\n", start);
        auto const line = head.substr(start, end - start);
        auto const colon = line.find(':');
        auto const valueStart = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace(toLower(line.substr(0, colon)), valueStart == std::string::npos ? std::string {} : line.substr(valueStart));
        start = end + 2;
    }
    auto const lengthText = message.header("content-length");
    std::size_t length = 0;
    std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), length);
    bool const isResponse = message.startLine.starts_with("HTTP/");
    bool const endsWithConnection = isResponse && lengthText.empty() && message.status() >= 200 && message.status() != 204 && message.status() != 304;
    while (endsWithConnection || m_buffer.size() < length) {
        if (fill(until))
            continue;
        message.isComplete = endsWithConnection && m_hasEnded;
        message.body = std::exchange(m_buffer, {});
        return message;
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    message.isComplete = true;
    return message;
}

bool connection::isClosedByPeer() const
{
    char byte = 0;
    auto const count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

void connection::close()
{
    if (m_socket >= 0)
        ::close(std::exchange(m_socket, -1));
}

void connection::reset()
{
    linger const immediately { 1, 0 };
    if (m_socket >= 0)
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    close();
}

int listenOn(std::string const& address, unsigned port)
{
    int const created = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (created < 0)
        return -1;
    int const isEnabled = 1;
    ::setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &isEnabled, sizeof(isEnabled));
    auto place = toSocketAddress(address, port);
    if (::bind(created, asGeneric(place), sizeof(place)) == 0 && ::listen(created, backlog) == 0)
        return created;
    ::close(created);
    return -1;
}

static unsigned boundPort(int socket)
{
    sockaddr_in place {};
    socklen_t length = sizeof(place);
    ::getsockname(socket, asGeneric(place), &length);
    return ntohs(place.sin_port);
}

std::string boundAddress(int socket)
{
    sockaddr_in place {};
    socklen_t length = sizeof(place);
    ::getsockname(socket, asGeneric(place), &length);
    std::string text(INET_ADDRSTRLEN, '\0');
    ::inet_ntop(AF_INET, &place.sin_addr, text.data(), INET_ADDRSTRLEN);
    text.resize(text.find('\0'));
    return text + ":" + std::to_string(boundPort(socket));
}

unsigned findFreePort(std::string const& address)
{
    int const probe = listenOn(address, 0);
    if (probe < 0)
        return 0;
    auto const port = boundPort(probe);
    ::close(probe);
    return port;
}

static std::string formatHeaders(std::multimap<std::string, std::string> const& headers)
{
    std::string lines;
    for (auto const& [name, value] : headers)
        lines += name + ": " + value + "\r\n";
    return lines;
}

std::string formatRequest(std::string const& method, std::string const& target, std::multimap<std::string, std::string> const& headers, std::string const& body)
{
    auto text = method + " " + target + " HTTP/1.1\r\n" + formatHeaders(headers);
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string formatResponse(int status, std::multimap<std::string, std::string> const& headers, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + formatHeaders(headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}
