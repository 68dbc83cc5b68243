#include "standins/common/LoopbackServer.h"

#include "standins/common/ConnectionStream.h"
#include "standins/common/ConnectionThreads.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace bulrush::standins {

namespace {

constexpr const char *loopbackAddress = "127.0.0.1";
constexpr int keepAliveMs = 60'000;
constexpr std::size_t maxRequestsPerConnection = 1'000'000'000;

/** Allows a restart on the same port, but not two servers on one port at a time. */
void setSocketOptions(socket_t sock)
{
    const int yes = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

void answerException(const httplib::Request &, httplib::Response &answer, std::exception_ptr error)
{
    try {
        std::rethrow_exception(std::move(error));
    } catch (const nlohmann::json::exception &invalid) {
        answerJson(answer, { { "error", invalid.what() } }, 400);
    } catch (const std::logic_error &invalid) {
        answerJson(answer, { { "error", invalid.what() } }, 400);
    } catch (const std::exception &failure) {
        answerJson(answer, { { "error", failure.what() } }, 500);
    }
}

} // namespace

LoopbackServer::LoopbackServer()
{
    this->new_task_queue = [] { return new ConnectionThreads(); };
    this->set_tcp_nodelay(true);
    this->set_socket_options(setSocketOptions);
    this->set_keep_alive_max_count(maxRequestsPerConnection);
    this->set_keep_alive_timeout(keepAliveMs / 1000);
    this->set_exception_handler(answerException);
}

LoopbackServer::~LoopbackServer()
{
    this->close();
}

int LoopbackServer::start(int port)
{
    const int bound = port == 0                         ? this->bind_to_any_port(loopbackAddress)
            : this->bind_to_port(loopbackAddress, port) ? port
                                                        : -1;
    if (bound < 0) {
        throw std::runtime_error("port " + std::to_string(port) + " cannot be bound");
    }
    this->listener = std::thread([this] { this->listen_after_bind(); });
    while (!this->is_running()) {
        std::this_thread::yield();
    }
    return bound;
}

void LoopbackServer::close()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->closing = true;
        for (const socket_t sock : this->openSockets) {
            shutdown(sock, SHUT_RDWR);
        }
    }
    if (this->listener.joinable()) {
        this->stop();
        this->listener.join();
    }
}

void LoopbackServer::dropConnection()
{
    ConnectionStream::dropCurrent();
}

void LoopbackServer::truncate(httplib::Response &answer)
{
    const std::string whole = std::move(answer.body);
    const std::string type = answer.get_header_value("Content-Type");
    answer.body.clear();
    answer.headers.erase("Content-Type");
    answer.set_content_provider(whole.size(), type,
                                [half = whole.substr(0, whole.size() / 2)](
                                        std::size_t, std::size_t, httplib::DataSink &sink) {
                                    sink.write(half.data(), half.size());
                                    return false;
                                });
}

bool LoopbackServer::process_and_close_socket(socket_t sock)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->openSockets.insert(sock);
        if (this->closing) {
            shutdown(sock, SHUT_RDWR);
        }
    }
    this->serve(sock);
    const std::scoped_lock lock(this->mutex);
    this->openSockets.erase(sock);
    shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

void LoopbackServer::serve(socket_t sock)
{
    ConnectionStream connection(sock);
    bool closed = false;
    while (!closed && !connection.isDropped() && connection.waitReadable(keepAliveMs)) {
        if (!this->process_request(connection, false, closed, nullptr)) {
            return;
        }
    }
}

void answerJson(httplib::Response &answer, const nlohmann::json &value, int status)
{
    answer.status = status;
    answer.set_content(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                       "application/json");
}

nlohmann::json parseBody(const httplib::Request &request)
{
    return nlohmann::json::parse(request.body);
}

std::int64_t numberParameter(const httplib::Request &request, const std::string &name,
                             std::int64_t fallback, std::int64_t max)
{
    if (!request.has_param(name)) {
        return fallback;
    }
    return std::clamp<std::int64_t>(std::stoll(request.get_param_value(name)), 0, max);
}

nlohmann::json withChanges(nlohmann::json settings, const nlohmann::json &changes)
{
    for (const auto &[name, value] : changes.items()) {
        if (!settings.contains(name)) {
            throw std::invalid_argument("unknown setting: " + name);
        }
        settings[name] = value;
    }
    return settings;
}

} // namespace bulrush::standins
