#pragma once

#include "bulrush_net/bulrush_net.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Serves operators over HTTP with JSON. Each method and path prefix is bound to a handler. */
class OperatorsApi : private HttpServer::Listener
{
public:
    /** Sends the answer; to be called once, within the handler or later. */
    using Reply = std::function<void(HttpResponse)>;

    /** @param rest the segments of the path after the bound prefix */
    using Handler = std::function<void(const HttpRequest &request,
                                       const std::vector<std::string> &rest, const Reply &reply)>;

    /** @param key required of every request in the header bulrush-key; empty requires none */
    OperatorsApi(EventLoop &loop, const Endpoint &endpoint, std::string key);

    OperatorsApi(const OperatorsApi &) = delete;
    OperatorsApi &operator=(const OperatorsApi &) = delete;

    /** Binds a handler to a method and the first segment of a path, such as GET and "status". */
    void bind(std::string_view method, std::string_view name, Handler handler);

    /** Returns an answer with a body of JSON text. */
    static HttpResponse json(int status, std::string text);

    /** Returns an answer with the body {"error": reason}. */
    static HttpResponse error(int status, std::string_view reason);

private:
    void requestArrived(HttpServer::RequestId id, HttpRequest request) override;
    void clientDisconnected(HttpServer::RequestId /*id*/) override { }

    const std::string key;
    std::map<std::string, Handler, std::less<>> handlers;
    HttpServer server;
};

} // namespace bulrush
