#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace review {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Request or response as it was received or is to be sent. Header names are in lower case when the message was received.
struct http_message {
    std::string startLine;
    std::multimap<std::string, std::string> headers;
    std::string body;
    /// True when the message was received completely; a response without a length is complete when its connection ends.
    bool isComplete { false };

    std::string header(std::string const& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// Blocking TCP connection with time limits, for stand-ins.
class connection {
public:
    explicit connection(int socket = -1)
        : m_socket(socket)
    {
    }
    ~connection() { close(); }
    connection(connection&&) noexcept;
    connection& operator=(connection&&) noexcept;
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Connects to an address of the form "127.0.0.1:80"; returns a closed connection on failure.
    static connection open(std::string const& address, milliseconds timeout, std::string const& source = {});
    bool isOpen() const { return m_socket >= 0; }
    int socket() const { return m_socket; }
    bool write(std::string const& bytes);
    /// Reads the next message. Returns nothing when the connection ends or the time is over before any byte of it; a message that ends
    /// early is returned as incomplete.
    std::optional<http_message> read(time_point until);
    /// Waits for the first byte of a message as long as told and then for the rest of it up to `completeWithin`.
    std::optional<http_message> readNext(milliseconds wait, milliseconds completeWithin);
    /// Returns whether the peer has closed the connection, without reading from it.
    bool isClosedByPeer() const;
    /// True when the last read ended because the peer closed or reset the connection.
    bool hasEnded() const { return m_hasEnded; }
    void close();
    /// Closes the connection with a reset.
    void reset();

private:
    bool fill(time_point until);

    int m_socket { -1 };
    std::string m_buffer;
    bool m_hasEnded { false };
};

/// Opens a listening socket; port 0 chooses a free port. Returns the socket, or -1.
int listenOn(std::string const& address, unsigned port);
/// Returns "address:port" of a bound socket.
std::string boundAddress(int socket);
/// Returns a port that is free on the address at the moment.
unsigned findFreePort(std::string const& address);

std::string formatRequest(std::string const& method, std::string const& target, std::multimap<std::string, std::string> const& headers, std::string const& body);
std::string formatResponse(int status, std::multimap<std::string, std::string> const& headers, std::string const& body);

}
