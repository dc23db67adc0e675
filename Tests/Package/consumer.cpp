#include "Libraries/zinnialedge/queries/query_engine.h"

int main()
{
    zinnialedge::queries::query_engine const engine { {}, zinnialedge::kernel::makeSeededRandom(1) };
    return engine.queriesInFlight() == 0 ? 0 : 1;
}
