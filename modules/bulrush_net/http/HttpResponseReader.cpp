#include "bulrush_net/http/HttpResponseReader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace bulrush {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view projectHeaderPrefix = "bulrush-";

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return lower;
}

std::string_view view(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace

struct HttpResponseReader::Parser
{
    http::response_parser<http::string_body> parser;
};

HttpResponseReader::HttpResponseReader(std::size_t maxBodyBytes)
    : maxBody(maxBodyBytes)
{
}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::begin(bool hasBody)
{
    this->parser = std::make_unique<Parser>();
    this->parser->parser.eager(true);
    this->parser->parser.body_limit(this->maxBody);
    this->parser->parser.skip(!hasBody);
    this->unread.clear();
}

HttpResponseReader::Status HttpResponseReader::append(std::string_view bytes)
{
    this->unread.append(bytes);
    return this->parse();
}

HttpResponseReader::Status HttpResponseReader::parse()
{
    boost::beast::error_code error;
    const std::size_t consumed = this->parser->parser.put(
            boost::asio::const_buffer(this->unread.data(), this->unread.size()), error);
    this->unread.erase(0, consumed);
    if (error == http::error::body_limit) {
        return Status::TooLarge;
    }
    if (error && error != http::error::need_more) {
        return Status::Malformed;
    }
    return this->parser->parser.is_done() ? Status::Complete : Status::Incomplete;
}

HttpResponseReader::Status HttpResponseReader::appendEnd()
{
    boost::beast::error_code error;
    if (this->parser->parser.got_some()) {
        this->parser->parser.put_eof(error);
    }
    return !error && this->parser->parser.is_done() ? Status::Complete : Status::Malformed;
}

bool HttpResponseReader::connectionReusable() const
{
    return this->parser->parser.keep_alive() && this->unread.empty();
}

HttpResponse HttpResponseReader::takeResponse()
{
    http::response<http::string_body> message = this->parser->parser.release();
    this->parser.reset();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.contentType = view(message[http::field::content_type]);
    for (const auto &field : message.base()) {
        std::string name = lowerCase(view(field.name_string()));
        if (name.starts_with(projectHeaderPrefix) || field.name() == http::field::retry_after) {
            response.headers.push_back({ std::move(name), std::string(view(field.value())) });
        }
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace bulrush
