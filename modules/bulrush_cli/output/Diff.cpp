#include "bulrush_cli/output/Diff.h"

#include <algorithm>
#include <vector>

namespace bulrush {

namespace {

constexpr std::size_t contextLines = 3;

using Lines = std::vector<std::string_view>;

/** A line of the diff; prefix ' ': in both texts, '-': removed, '+': added. */
struct Edit
{
    char prefix = ' ';
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

/** The length of the longest common subsequence for each pair of suffixes of the two texts. */
class LcsTable
{
public:
    LcsTable(const Lines &oldLines, const Lines &newLines)
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
    const LcsTable lcs(oldLines, newLines);
    std::vector<Edit> edits;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < oldLines.size() || j < newLines.size()) {
        const bool bothRemain = i < oldLines.size() && j < newLines.size();
        if (bothRemain && oldLines[i] == newLines[j]) {
            edits.push_back({ ' ', oldLines[i] });
            ++i;
            ++j;
        } else if (j == newLines.size() || (bothRemain && lcs.at(i + 1, j) >= lcs.at(i, j + 1))) {
            edits.push_back({ '-', oldLines[i++] });
        } else {
            edits.push_back({ '+', newLines[j++] });
        }
    }
    return edits;
}

/** Returns for each edit whether it is a change or a context line of one. */
std::vector<bool> editsInHunks(const std::vector<Edit> &edits)
{
    std::vector<bool> inHunk(edits.size(), false);
    for (std::size_t i = 0; i < edits.size(); ++i) {
        if (edits[i].prefix == ' ') {
            continue;
        }
        const std::size_t first = i - std::min(i, contextLines);
        const std::size_t last = std::min(edits.size() - 1, i + contextLines);
        std::fill(inHunk.begin() + static_cast<std::ptrdiff_t>(first),
                  inHunk.begin() + static_cast<std::ptrdiff_t>(last) + 1, true);
    }
    return inHunk;
}

/** A contiguous group of changes and context lines, with its position in both texts. */
struct Hunk
{
    std::size_t oldStart = 0;
    std::size_t newStart = 0;
    std::size_t oldCount = 0;
    std::size_t newCount = 0;
    std::string lines;

    void add(const Edit &edit)
    {
        this->oldCount += edit.prefix == '+' ? 0 : 1;
        this->newCount += edit.prefix == '-' ? 0 : 1;
        this->lines += edit.prefix + std::string(edit.line) + "\n";
    }

    std::string text() const
    {
        return "@@ -" + range(this->oldStart, this->oldCount) + " +"
                + range(this->newStart, this->newCount) + " @@\n" + this->lines;
    }

    /** Returns "first,count". Lines are numbered from 1; for an empty range, first is the number of
        the line before it, or 0. */
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
    const std::vector<bool> inHunk = editsInHunks(edits);
    std::string text = "--- " + std::string(oldLabel) + "\n+++ " + std::string(newLabel) + "\n";
    std::size_t oldLine = 0;
    std::size_t newLine = 0;
    Hunk hunk;
    for (std::size_t i = 0; i < edits.size(); ++i) {
        if (inHunk[i]) {
            if (hunk.lines.empty()) {
                hunk.oldStart = oldLine;
                hunk.newStart = newLine;
            }
            hunk.add(edits[i]);
        }
        oldLine += edits[i].prefix == '+' ? 0 : 1;
        newLine += edits[i].prefix == '-' ? 0 : 1;
        const bool isEnd = i + 1 == edits.size() || !inHunk[i + 1];
        if (isEnd && !hunk.lines.empty()) {
            text += hunk.text();
            hunk = {};
        }
    }
    return text;
}

} // namespace bulrush
