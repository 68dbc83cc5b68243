#include "bulrush_cli/output/Diff.h"

#include <algorithm>
#include <vector>

namespace bulrush {

namespace {

constexpr std::size_t contextLines = 3;

using Lines = std::vector<std::string_view>;

/** One line of the difference: ' ' in both, '-' in the old text only, '+' in the new only. */
struct Edit
{
    char mark = ' ';
    std::string_view line;
};

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/** Lengths of the longest common subsequences of all pairs of tails. */
class CommonTails
{
public:
    CommonTails(const Lines &oldLines, const Lines &newLines)
        : width(newLines.size() + 1)
        , lengths((oldLines.size() + 1) * this->width, 0)
    {
        for (std::size_t i = oldLines.size(); i-- > 0;) {
            for (std::size_t j = newLines.size(); j-- > 0;) {
                this->lengths[i * this->width + j] = oldLines[i] == newLines[j]
                        ? this->at(i + 1, j + 1) + 1
                        : std::max(this->at(i + 1, j), this->at(i, j + 1));
            }
        }
    }

    unsigned at(std::size_t i, std::size_t j) const { return this->lengths[i * this->width + j]; }

private:
    std::size_t width;
    std::vector<unsigned> lengths;
};

std::vector<Edit> editsBetween(const Lines &oldLines, const Lines &newLines)
{
    const CommonTails tails(oldLines, newLines);
    std::vector<Edit> edits;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < oldLines.size() || j < newLines.size()) {
        const bool both = i < oldLines.size() && j < newLines.size();
        if (both && oldLines[i] == newLines[j]) {
            edits.push_back({ ' ', oldLines[i] });
            ++i;
            ++j;
        } else if (j == newLines.size() || (both && tails.at(i + 1, j) >= tails.at(i, j + 1))) {
            edits.push_back({ '-', oldLines[i++] });
        } else {
            edits.push_back({ '+', newLines[j++] });
        }
    }
    return edits;
}

/** Returns for each edit whether it is changed or near a changed one. */
std::vector<bool> shownEdits(const std::vector<Edit> &edits)
{
    std::vector<bool> shown(edits.size(), false);
    for (std::size_t i = 0; i < edits.size(); ++i) {
        if (edits[i].mark == ' ') {
            continue;
        }
        const std::size_t first = i - std::min(i, contextLines);
        const std::size_t last = std::min(edits.size() - 1, i + contextLines);
        std::fill(shown.begin() + static_cast<std::ptrdiff_t>(first),
                  shown.begin() + static_cast<std::ptrdiff_t>(last) + 1, true);
    }
    return shown;
}

/** A run of neighbouring shown edits and where it lies in both texts. */
struct Hunk
{
    std::size_t oldStart = 0;
    std::size_t newStart = 0;
    std::size_t oldCount = 0;
    std::size_t newCount = 0;
    std::string lines;

    void add(const Edit &edit)
    {
        this->oldCount += edit.mark == '+' ? 0 : 1;
        this->newCount += edit.mark == '-' ? 0 : 1;
        this->lines += edit.mark + std::string(edit.line) + "\n";
    }

    std::string text() const
    {
        return "@@ -" + range(this->oldStart, this->oldCount) + " +"
                + range(this->newStart, this->newCount) + " @@\n" + this->lines;
    }

    /** Returns "first,count"; the first line is numbered 1, and 0 stands for none. */
    static std::string range(std::size_t start, std::size_t count)
    {
        return std::to_string(count == 0 ? start : start + 1) + "," + std::to_string(count);
    }
};

} // namespace

std::string unifiedDiff(std::string_view oldText, std::string_view oldLabel,
                        std::string_view newText, std::string_view newLabel)
{
    if (oldText == newText) {
        return {};
    }
    const std::vector<Edit> edits = editsBetween(splitLines(oldText), splitLines(newText));
    const std::vector<bool> shown = shownEdits(edits);
    std::string text = "--- " + std::string(oldLabel) + "\n+++ " + std::string(newLabel) + "\n";
    std::size_t oldLine = 0;
    std::size_t newLine = 0;
    Hunk hunk;
    for (std::size_t i = 0; i < edits.size(); ++i) {
        if (shown[i]) {
            if (hunk.lines.empty()) {
                hunk.oldStart = oldLine;
                hunk.newStart = newLine;
            }
            hunk.add(edits[i]);
        }
        oldLine += edits[i].mark == '+' ? 0 : 1;
        newLine += edits[i].mark == '-' ? 0 : 1;
        const bool isEnd = i + 1 == edits.size() || !shown[i + 1];
        if (isEnd && !hunk.lines.empty()) {
            text += hunk.text();
            hunk = {};
        }
    }
    return text;
}

} // namespace bulrush
