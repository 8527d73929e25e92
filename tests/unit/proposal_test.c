/*
 * An approval counts only for exactly what was shown, from those who must
 * approve.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <string.h>

static const char *const members[] = {"auckland", "otago"};

/* A proposal by which waikato joins auckland and otago. */
static json_t *
joining_proposal(fv_config_t **base)
{
    char reason[Fv_REASON_SIZE];
    json_t *answers = sample_with_weight(5);
    json_t *by_member = json_pack("{s:O}", "waikato", answers);
    fv_config_t *next;
    json_t *proposal;

    *base = sample_config(members, 2);
    next = FvGenerate_NextConfig(*base, "waikato", answers, reason);
    proposal = FvProposal_New("0000000001-0123abcd", "waikato", *base, next,
                              by_member, 1);
    json_decref(answers);
    json_decref(by_member);
    FvConfig_Free(next);
    return proposal;
}

static json_t *
make_vote(const char *member, const char *what, const char *digest)
{
    return json_pack("{s:s, s:s, s:s}", "member", member, "vote", what,
                     "digest", digest);
}

static void
test_altered_record_is_noticed(void)
{
    fv_config_t *base;
    json_t *proposal = joining_proposal(&base);
    json_t *contract =
        json_object_get(json_object_get(proposal, "after"), "waikato");

    CU_ASSERT_TRUE(FvProposal_IsIntact(proposal));
    json_object_set_new(proposal, "lease", json_integer(7));
    CU_ASSERT_TRUE(FvProposal_IsIntact(proposal));
    json_object_set_new(contract, "weight", json_integer(6));
    CU_ASSERT_FALSE(FvProposal_IsIntact(proposal));
    CU_ASSERT_FALSE(FvProposal_IsIntact(NULL));
    json_decref(proposal);
    FvConfig_Free(base);
}

static void
test_only_required_matching_votes_count(void)
{
    fv_config_t *base;
    json_t *proposal = joining_proposal(&base);
    const char *digest = FvJson_String(proposal, "digest");
    json_t *votes = json_object();
    fv_tally_t tally;

    json_object_set_new(votes, "waikato",
                        make_vote("waikato", "approve", digest));
    json_object_set_new(votes, "stranger",
                        make_vote("stranger", "reject", digest));
    json_object_set_new(votes, "auckland",
                        make_vote("auckland", "approve", digest));
    json_object_set_new(votes, "otago",
                        make_vote("otago", "approve", "another digest"));
    FvProposal_CountVotes(proposal, votes, NULL, &tally);
    CU_ASSERT_EQUAL(tally.approved, 1);
    CU_ASSERT_EQUAL(tally.missing, 1);
    CU_ASSERT_EQUAL(tally.rejected, 0);
    CU_ASSERT_STRING_EQUAL(tally.first_missing, "otago");
    FvProposal_CountVotes(proposal, votes, "otago", &tally);
    CU_ASSERT_EQUAL(tally.missing, 0);
    json_decref(votes);
    json_decref(proposal);
    FvConfig_Free(base);
}

static void
test_author_withdraws(void)
{
    fv_config_t *base;
    json_t *proposal = joining_proposal(&base);
    const char *digest = FvJson_String(proposal, "digest");
    json_t *votes = json_object();
    json_t *head =
        json_pack("{s:i, s:s}", "version", 1, "digest", base->digest);

    CU_ASSERT_STRING_EQUAL(FvProposal_State(proposal, votes, head), "open");
    CU_ASSERT_TRUE(FvProposal_MayVote(proposal, "waikato"));
    CU_ASSERT_FALSE(FvProposal_MayVote(proposal, "stranger"));
    CU_ASSERT_FALSE(FvProposal_MayRead(proposal, "stranger"));
    json_object_set_new(votes, "waikato",
                        make_vote("waikato", "reject", digest));
    CU_ASSERT_STRING_EQUAL(FvProposal_State(proposal, votes, head),
                           "rejected");
    json_object_set_new(head, "version", json_integer(2));
    json_object_clear(votes);
    CU_ASSERT_STRING_EQUAL(FvProposal_State(proposal, votes, head),
                           "superseded");
    json_decref(votes);
    json_decref(head);
    json_decref(proposal);
    FvConfig_Free(base);
}

static void
test_diff_shows_changed_fields(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *base = sample_config(members, 2);
    json_t *answers = sample_with_weight(2);
    json_t *queue = json_array_get(json_object_get(answers, "workloads"), 1);
    fv_config_t *next;
    json_t *proposal;
    json_t *diff;
    json_t *changes;

    json_object_set_new(queue, "may_queue", json_integer(21));
    next = FvGenerate_NextConfig(base, "otago", answers, reason);
    proposal = FvProposal_New("i", "otago", base, next, answers, 1);
    diff = FvProposal_Diff(proposal);
    changes = json_object_get(
        json_object_get(json_object_get(diff, "members"), "otago"), "changes");
    CU_ASSERT_EQUAL(json_object_size(json_object_get(diff, "members")), 1);
    CU_ASSERT_EQUAL(json_array_size(changes), 1);
    CU_ASSERT_STRING_EQUAL(FvJson_String(json_array_get(changes, 0), "path"),
                           "workloads.rebuild.queue_limit");
    CU_ASSERT_PTR_NULL(FvProposal_New("i", "otago", base, base, answers, 1));
    json_decref(diff);
    json_decref(proposal);
    json_decref(answers);
    FvConfig_Free(next);
    FvConfig_Free(base);
}

static void
test_ids(void)
{
    char id[Fv_KEY_SIZE];

    FvProposal_NewId(12, id);
    CU_ASSERT_TRUE(FvProposal_IsValidId(id));
    CU_ASSERT_EQUAL(strncmp(id, "0000000012-", 11), 0);
    CU_ASSERT_FALSE(FvProposal_IsValidId(""));
    CU_ASSERT_FALSE(FvProposal_IsValidId("0000000012-0123abc"));
    CU_ASSERT_FALSE(FvProposal_IsValidId("0000000012-0123abcde"));
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an altered record keeps its digest", test_altered_record_is_noticed},
        {"a vote by others or for another digest counts",
         test_only_required_matching_votes_count},
        {"a withdrawn or superseded proposal looks open",
         test_author_withdraws},
        {"a changed field is missing from the diff",
         test_diff_shows_changed_fields},
        {"a short id lists other proposals", test_ids},
    };

    return Fv_RUN_SUITE("proposal", cases);
}
