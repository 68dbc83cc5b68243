#pragma once

/**
    bulrush_net: wraps libwebsockets in a small set of classes.

    One EventLoop per thread; an HTTP server that delivers complete requests, an HTTP client whose
    caller chooses the connection of each request, and length-prefixed frames over TCP between
    nodes. Code outside this module includes no libwebsockets header.

    Needs: bulrush_core, libwebsockets, Boost.Beast (headers).
*/

#include "bulrush_net/frames/FrameLinks.h"
#include "bulrush_net/frames/FrameTransport.h"
#include "bulrush_net/http/HttpCaller.h"
#include "bulrush_net/http/HttpClient.h"
#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_net/http/HttpResponseReader.h"
#include "bulrush_net/http/HttpServer.h"
#include "bulrush_net/loop/EventLoop.h"
