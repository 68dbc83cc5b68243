#include "bulrush_config/schemas/StrictJson.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::size_t maxShownBytes = 60;

std::string truncated(std::string text)
{
    if (text.size() > maxShownBytes) {
        text.resize(maxShownBytes);
        text += "...";
    }
    return text;
}

/** Parser callback that throws FieldError for a value beyond the bounds or a duplicate key. */
class BoundsChecker
{
public:
    explicit BoundsChecker(const JsonBounds &bounds)
        : bounds(bounds)
    {
    }

    bool operator()(int depth, json::parse_event_t event, const json &parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            this->enter(static_cast<std::size_t>(depth));
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            this->levels.pop_back();
            break;
        case json::parse_event_t::key:
            this->checkKey(parsed.get_ref<const std::string &>());
            break;
        case json::parse_event_t::value:
            this->checkValue(parsed);
            break;
        }
        return true;
    }

private:
    struct Level
    {
        std::set<std::string> keys;
        std::string key;
    };

    void enter(std::size_t depth)
    {
        if (depth >= this->bounds.maxDepth) {
            throw FieldError({ this->pointer(), "a value nested too deeply",
                               "at most " + std::to_string(this->bounds.maxDepth) + " levels" });
        }
        this->levels.emplace_back();
    }

    void checkKey(const std::string &key)
    {
        this->checkLength(key);
        Level &level = this->levels.back();
        level.key = key;
        if (!level.keys.insert(key).second) {
            throw FieldError({ this->pointer(), "the field twice", "each field once" });
        }
    }

    void checkValue(const json &value) const
    {
        if (value.is_string()) {
            this->checkLength(value.get_ref<const std::string &>());
        }
    }

    void checkLength(const std::string &text) const
    {
        if (text.size() > this->bounds.maxStringBytes) {
            throw FieldError({ this->pointer(),
                               "a string of " + std::to_string(text.size()) + " bytes",
                               "at most " + std::to_string(this->bounds.maxStringBytes) });
        }
    }

    std::string pointer() const
    {
        std::string path;
        for (const Level &level : this->levels) {
            if (!level.key.empty()) {
                path += "/" + truncated(level.key);
            }
        }
        return path;
    }

    const JsonBounds bounds;
    std::vector<Level> levels;
};

} // namespace

json parseStrictJson(std::string_view text, const JsonBounds &bounds)
{
    if (text.size() > bounds.maxBytes) {
        throw FieldError({ "", std::to_string(text.size()) + " bytes",
                           "at most " + std::to_string(bounds.maxBytes) + " bytes" });
    }
    BoundsChecker checker(bounds);
    const json::parser_callback_t callback = [&checker](int depth, json::parse_event_t event,
                                                        const json &parsed) {
        return checker(depth, event, parsed);
    };
    try {
        return json::parse(text, callback);
    } catch (const json::parse_error &error) {
        throw FieldError({ "", "a fault at byte " + std::to_string(error.byte), "JSON text" });
    } catch (const json::exception &error) {
        throw FieldError({ "", "a number out of range", "JSON text" });
    }
}

std::string truncatedJson(const json &value)
{
    return truncated(value.dump(-1, ' ', true, json::error_handler_t::replace));
}

} // namespace bulrush
