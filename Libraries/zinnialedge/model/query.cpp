#include "Libraries/zinnialedge/model/query.h"

#include "Kernel/verify.h"

namespace zinnialedge::model {

std::string_view toString(missing_reason reason)
{
    switch (reason) {
    case missing_reason::deadline:
        return "deadline";
    case missing_reason::no_leaf:
        return "no_leaf";
    case missing_reason::overloaded:
        return "overloaded";
    case missing_reason::version_gone:
        return "version_gone";
    case missing_reason::repartitioned:
        return "repartitioned";
    case missing_reason::failed:
        return "failed";
    }
    VERIFY(false);
}

}
