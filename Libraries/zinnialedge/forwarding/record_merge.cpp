#include "Libraries/zinnialedge/forwarding/record_merge.h"

#include <algorithm>
#include <cstring>
#include <vector>

namespace zinnialedge::forwarding {

static bool isGreater(char const* left, char const* right)
{
    return std::memcmp(left, right, recordBytes) > 0;
}

std::string mergeGreatestRecords(std::span<std::string const* const> parts, std::size_t limit)
{
    // Min-heap of the greatest records so far; the smallest record is at the front.
    std::vector<char const*> greatest;
    std::size_t recordCount = 0;
    for (auto const* part : parts)
        recordCount += part->size() / recordBytes;
    greatest.reserve(std::min(limit, recordCount) + 1);
    for (auto const* part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part->size(); offset += recordBytes) {
            auto const* const record = part->data() + offset;
            if (greatest.size() == limit && (limit == 0 || !isGreater(record, greatest.front())))
                continue;
            greatest.push_back(record);
            std::push_heap(greatest.begin(), greatest.end(), isGreater);
            if (greatest.size() <= limit)
                continue;
            std::pop_heap(greatest.begin(), greatest.end(), isGreater);
            greatest.pop_back();
        }
    }
    std::sort_heap(greatest.begin(), greatest.end(), isGreater);
    std::string merged;
    merged.reserve(greatest.size() * recordBytes);
    for (auto const* record : greatest)
        merged.append(record, recordBytes);
    return merged;
}

}
