#include "Tests/Support/session.h"
#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>

// Each file in sessions/ is a script. The file with an equal name in transcripts/ is the expected transcript.
// UPDATE_GOLDEN=1 in the environment overwrites the transcripts. Review the diff of the transcripts before a commit.

using namespace zinnialedge::tests;

static std::string readFile(std::filesystem::path const& path)
{
    std::ifstream file { path };
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_GROUP(GoldenSessions) {};

TEST(GoldenSessions, EveryScriptProducesItsTranscript)
{
    std::filesystem::path const folder { TESTS_FOLDER "/Golden" };
    bool const isUpdating = std::getenv("UPDATE_GOLDEN") != nullptr;
    std::size_t scriptCount = 0;
    for (auto const& entry : std::filesystem::directory_iterator { folder / "sessions" }) {
        ++scriptCount;
        auto const transcript = session {}.run(readFile(entry.path()));
        auto const expectedPath = folder / "transcripts" / entry.path().filename();
        if (isUpdating)
            std::ofstream { expectedPath } << transcript;
        STRCMP_EQUAL_TEXT(readFile(expectedPath).c_str(), transcript.c_str(), entry.path().filename().c_str());
    }
    CHECK(scriptCount > 0);
}
