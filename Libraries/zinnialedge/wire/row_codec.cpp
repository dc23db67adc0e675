#include "Libraries/zinnialedge/wire/row_codec.h"

#include <boost/json.hpp>

namespace zinnialedge::wire {

namespace json = boost::json;

json::array formatRows(std::vector<model::row> const& rows)
{
    json::array items;
    items.reserve(rows.size());
    for (auto const& row : rows)
        items.push_back({ row.key, row.value });
    return items;
}

bool parseRows(json::value const* value, std::vector<model::row>& rows)
{
    auto const* items = value ? value->if_array() : nullptr;
    if (!items)
        return false;
    rows.reserve(items->size());
    for (auto const& item : *items) {
        auto const* pair = item.if_array();
        if (!pair || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_string())
            return false;
        rows.push_back({ std::string { (*pair)[0].get_string() }, std::string { (*pair)[1].get_string() } });
    }
    return true;
}

}
