#include "policy/crashevidence.h"

#include "policy/crashrate.h"
#include "policy/partshistory.h"
#include "policy/requestfingerprint.h"

#include <gtest/gtest.h>
#include <string>

namespace vanillaspar
{

namespace
{

constexpr double rarely = 0.01; // probability that a sound request ends with its replica
constexpr Millis start(100000);
constexpr Millis apart(500);

const PromptPartId part("5c1e07a2");

/** @return the crash number @p number, each of another replica and under another request. */
PartCrash crashAt(uint32_t number, Millis at)
{
    return {number, number, number, at};
}

/** Adds a number of crashes, some time apart. @return the time of the last one. */
Millis addCrashes(CrashEvidence &evidence, const PromptPartId &of, uint32_t count, uint32_t firstNumber = 1)
{
    Millis at = start;
    for (uint32_t i = 0; i < count; ++i) {
        at = start + apart * i;
        evidence.onCrash(of, crashAt(firstNumber + i, at), at);
    }
    return at;
}

TEST(CrashEvidence, APartUnderWhichEveryReplicaEndsIsFound)
{
    CrashEvidence evidence;
    const Millis end = addCrashes(evidence, part, 3);
    EXPECT_EQ(evidence.findCrashing(end, rarely), part);
    EXPECT_EQ(evidence.findCrashing(end - Millis(1), rarely), std::nullopt) << "the last crash doesn't count yet";
}

// Only twelve ends are kept; counted from these, a request seemed to be there at few of many ends and was never found.
TEST(CrashEvidence, ARequestThatWasThereAtManyEndsIsFoundWhereNothingProgresses)
{
    constexpr uint32_t manyCrashes = 40;
    const PromptPartId request = requestFingerprint("m/a1", {part});
    const PartsHistory nothingProgressed;
    CrashEvidence evidence;
    const Millis later = addCrashes(evidence, request, manyCrashes) + Millis(1000);
    EXPECT_EQ(evidence.findNeverProgressed(nothingProgressed, later), request);
}

TEST(CrashEvidence, WhereNothingProgressesARequestNeedsFiveEndsAndAPartAHistory)
{
    const PromptPartId request = requestFingerprint("m/a1", {part});
    const PartsHistory nothingProgressed;
    CrashEvidence four;
    EXPECT_EQ(four.findNeverProgressed(nothingProgressed, addCrashes(four, request, 4) + Millis(1000)), std::nullopt);
    CrashEvidence five;
    EXPECT_EQ(five.findNeverProgressed(nothingProgressed, addCrashes(five, request, 5) + Millis(1000)), request);
    CrashEvidence shared;
    EXPECT_EQ(shared.findNeverProgressed(nothingProgressed, addCrashes(shared, part, 40) + Millis(1000)), std::nullopt);
}

TEST(CrashEvidence, AnAnswerThatProgressesClearsThePartOfEarlierCrashes)
{
    CrashEvidence evidence;
    const Millis end = addCrashes(evidence, part, 4);
    evidence.onProgressed(part, start + apart, end);
    EXPECT_EQ(evidence.weight(part, end), 2);
    // A crash before the answer began that another host tells of later.
    EXPECT_FALSE(evidence.onCrash(part, crashAt(9, start), end));
    evidence.onProgressed(part, end + Millis(1), end + Millis(1));
    EXPECT_EQ(evidence.weight(part, end), 0);
}

TEST(CrashEvidence, ReplicasThatEndTogetherCountOnce)
{
    CrashEvidence evidence;
    for (uint32_t i = 0; i < 8; ++i) {
        evidence.onCrash(part, crashAt(i, start + Millis(i)), start);
    }
    EXPECT_EQ(evidence.weight(part, start + apart), 1);
    addCrashes(evidence, part, 4, 20);
    EXPECT_GE(evidence.weight(part, start + apart * 4), 3) << "later ends still count";
}

TEST(CrashEvidence, RepetitionsOfOneRequestAndEndsAtOneAddressCountOnce)
{
    CrashEvidence ofOneRequest;
    CrashEvidence atOneAddress;
    for (uint32_t i = 0; i < 6; ++i) {
        const Millis at = start + apart * i;
        ofOneRequest.onCrash(part, {i, i, 7, at}, at);
        atOneAddress.onCrash(part, {i, 7, i, at}, at);
    }
    EXPECT_EQ(ofOneRequest.weight(part, start + apart * 6), 1);
    EXPECT_EQ(atOneAddress.weight(part, start + apart * 6), 1);
}

TEST(CrashEvidence, TheMoreOftenReplicasEndTheMoreEvidenceIsNeeded)
{
    for (const auto &[probability, needed] : {std::pair(0.02, 3U), {0.05, 4U}, {0.099, 5U}}) {
        CrashEvidence evidence;
        const Millis end = addCrashes(evidence, part, needed - 1);
        EXPECT_EQ(evidence.findCrashing(end, probability), std::nullopt) << probability;
        evidence.onCrash(part, crashAt(50, end + apart), end + apart);
        EXPECT_EQ(evidence.findCrashing(end + apart, probability), part) << probability;
    }
    CrashEvidence evidence;
    EXPECT_EQ(evidence.findCrashing(addCrashes(evidence, part, 8), 0.5), std::nullopt);
}

TEST(CrashEvidence, WhatACrashingPartExplainsCountsAgainstNoOther)
{
    const PromptPartId bystander("b");
    CrashEvidence evidence;
    const Millis end = addCrashes(evidence, part, 4);
    addCrashes(evidence, bystander, 3);
    EXPECT_EQ(evidence.findCrashing(end, rarely), part);
    evidence.explain(part, end);
    EXPECT_EQ(evidence.findCrashing(end, rarely), std::nullopt);
    EXPECT_FALSE(evidence.onCrash(bystander, crashAt(2, end), end)) << "another host tells of the same end later";
}

TEST(CrashEvidence, ItsSizeIsBoundedAndTheWorstPartsStay)
{
    CrashEvidence evidence;
    const Millis end = addCrashes(evidence, part, 3);
    for (uint32_t i = 0; i < 2000; ++i) {
        evidence.onCrash(PromptPartId("x" + std::to_string(i)), crashAt(1000 + i, end), end + Millis(i));
    }
    EXPECT_LE(evidence.parts().size(), 256U);
    EXPECT_EQ(evidence.findCrashing(end, rarely), part);
}

TEST(CrashRate, KnowsNothingAtFirstAndLearns)
{
    CrashRate rate;
    EXPECT_GE(rate.probability(start), 0.5);
    EXPECT_LT(rate.controlledUntil(), Millis(0));
    for (int i = 0; i < 98; ++i) {
        rate.onProgressed(start + Millis(i), start + Millis(i));
    }
    rate.onEnded(start);
    EXPECT_NEAR(rate.probability(start + Millis(1000)), 0.02, 0.001);
    EXPECT_EQ(rate.controlledUntil(), start + Millis(88));
    EXPECT_GE(rate.probability(start + Millis(60000)), 0.5) << "what was long ago says nothing";
}

}

}
