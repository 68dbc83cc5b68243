#pragma once

/**
    bulrush_net: libwebsockets behind narrow classes.

    One EventLoop a thread; an HTTP server that hands over whole requests, an HTTP client whose
    connections are chosen by the caller, and length-prefixed frames over TCP between nodes.
    Nothing outside this module includes a header of libwebsockets.

    Needs: bulrush_core, libwebsockets.
*/

#include "bulrush_net/frames/FrameTransport.h"
#include "bulrush_net/http/HttpCaller.h"
#include "bulrush_net/http/HttpClient.h"
#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_net/http/HttpServer.h"
#include "bulrush_net/loop/EventLoop.h"
