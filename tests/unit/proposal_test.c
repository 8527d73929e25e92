/*
 * Configuration proposals: a vote counts only if its digest is that of the
 * proposal and it comes from a member whose approval is required.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <string.h>

static const char *const member_names[] = {"auckland", "otago"};

/* A proposal that adds waikato to the members auckland and otago. */
static json_t *
make_join_proposal(fv_config_t **base_config)
{
    char reason[Fv_REASON_SIZE];
    json_t *answers = sample_answers_with_weight(5);
    json_t *by_member = json_pack("{s:O}", "waikato", answers);
    fv_config_t *next_config;
    json_t *proposal;

    *base_config = sample_config(member_names, 2);
    next_config =
        FvGenerate_NextConfig(*base_config, "waikato", answers, reason);
    proposal = FvProposal_New("0000000001-0123abcd", "waikato", *base_config,
                              next_config, by_member, 1);
    json_decref(answers);
    json_decref(by_member);
    FvConfig_Free(next_config);
    return proposal;
}

static json_t *
make_vote(const char *member, const char *choice, const char *digest)
{
    return json_pack("{s:s, s:s, s:s}", "member", member, "vote", choice,
                     "digest", digest);
}

static void
test_altered_proposal_is_detected(void)
{
    fv_config_t *base_config;
    json_t *proposal = make_join_proposal(&base_config);
    json_t *contract =
        json_object_get(json_object_get(proposal, "after"), "waikato");

    CU_ASSERT_TRUE(FvProposal_IsIntact(proposal));
    json_object_set_new(proposal, "lease", json_integer(7));
    CU_ASSERT_TRUE(FvProposal_IsIntact(proposal));
    json_object_set_new(contract, "weight", json_integer(6));
    CU_ASSERT_FALSE(FvProposal_IsIntact(proposal));
    CU_ASSERT_FALSE(FvProposal_IsIntact(NULL));
    json_decref(proposal);
    FvConfig_Free(base_config);
}

static void
test_only_valid_votes_are_counted(void)
{
    fv_config_t *base_config;
    json_t *proposal = make_join_proposal(&base_config);
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
    FvConfig_Free(base_config);
}

static void
test_rejected_and_superseded_states(void)
{
    fv_config_t *base_config;
    json_t *proposal = make_join_proposal(&base_config);
    const char *digest = FvJson_String(proposal, "digest");
    json_t *votes = json_object();
    json_t *head =
        json_pack("{s:i, s:s}", "version", 1, "digest", base_config->digest);

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
    FvConfig_Free(base_config);
}

static void
test_diff_shows_changed_fields(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *base_config = sample_config(member_names, 2);
    json_t *answers = sample_answers_with_weight(2);
    json_t *rebuild = json_array_get(json_object_get(answers, "workloads"), 1);
    fv_config_t *next_config;
    json_t *proposal;
    json_t *diff;
    json_t *changes;

    json_object_set_new(rebuild, "may_queue", json_integer(21));
    next_config = FvGenerate_NextConfig(base_config, "otago", answers, reason);
    proposal =
        FvProposal_New("i", "otago", base_config, next_config, answers, 1);
    diff = FvProposal_Diff(proposal);
    changes = json_object_get(
        json_object_get(json_object_get(diff, "members"), "otago"), "changes");
    CU_ASSERT_EQUAL(json_object_size(json_object_get(diff, "members")), 1);
    CU_ASSERT_EQUAL(json_array_size(changes), 1);
    CU_ASSERT_STRING_EQUAL(FvJson_String(json_array_get(changes, 0), "path"),
                           "workloads.rebuild.queue_limit");
    CU_ASSERT_PTR_NULL(
        FvProposal_New("i", "otago", base_config, base_config, answers, 1));
    json_decref(diff);
    json_decref(proposal);
    json_decref(answers);
    FvConfig_Free(next_config);
    FvConfig_Free(base_config);
}

static void
test_id_format(void)
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
        {"an altered proposal passes the digest check",
         test_altered_proposal_is_detected},
        {"a vote that is not required or has another digest counts",
         test_only_valid_votes_are_counted},
        {"a withdrawn or superseded proposal is shown as open",
         test_rejected_and_superseded_states},
        {"the diff lacks a changed field or has an unchanged one",
         test_diff_shows_changed_fields},
        {"a short id is accepted and matches other proposals", test_id_format},
    };

    return Fv_RUN_SUITE("proposal", cases);
}
