#include "main/linewriter.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <unistd.h>

namespace vanillaspar
{

namespace
{

class LineWriterTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(pipe(m_ends), 0);
    }
    void TearDown() override
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    /** Reads once; the pipe must not be empty. */
    std::string readSome()
    {
        std::string buffer(65536, '\0');
        const ssize_t count = read(m_ends[0], buffer.data(), buffer.size());
        buffer.resize(static_cast<size_t>(std::max<ssize_t>(count, 0)));
        return buffer;
    }

    static constexpr size_t capacity = 100000;
    int m_ends[2] = {-1, -1};
};

TEST_F(LineWriterTest, WritesLinesInOrder)
{
    LineWriter writer(m_ends[1], capacity);
    writer.add("one\n");
    writer.add("two\n");
    EXPECT_TRUE(writer.flush());
    EXPECT_EQ(readSome(), "one\ntwo\n");
    EXPECT_EQ(writer.takeDropped(), 0U);
}

TEST_F(LineWriterTest, AFullPipeDoesNotBlockAndLosesOnlyWholeLines)
{
    // Nobody reads. With a blocking write this test would never end.
    LineWriter writer(m_ends[1], capacity);
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i) {
        writer.add("line " + std::to_string(i) + std::string(100, '.') + "\n");
        writer.flush();
    }
    const uint64_t dropped = writer.takeDropped();
    EXPECT_GT(dropped, 0U);
    // The reader comes back: every line that was kept arrives whole and in order, and the rest is counted.
    std::string text;
    bool isWritten = false;
    while (!isWritten) {
        text += readSome();
        isWritten = writer.flush();
    }
    text += readSome();
    std::istringstream stream(text);
    std::string line;
    int received = 0;
    int last = -1;
    while (std::getline(stream, line)) {
        ASSERT_EQ(line.rfind("line ", 0), 0U) << line;
        const int number = std::stoi(line.substr(5));
        EXPECT_GT(number, last);
        EXPECT_EQ(line.size(), ("line " + std::to_string(number)).size() + 100);
        last = number;
        ++received;
    }
    EXPECT_EQ(received + static_cast<int>(dropped), lines);
}

TEST_F(LineWriterTest, AClosedReaderDoesNotBlock)
{
    close(m_ends[0]);
    std::signal(SIGPIPE, SIG_IGN);
    LineWriter writer(m_ends[1], capacity);
    writer.add("lost\n");
    EXPECT_FALSE(writer.flush());
    m_ends[0] = -1;
}

}

}
