/*
 * Proposals and votes: records, digests, counting and differences. All
 * functions work on JSON records and have no side effects.
 *
 * The digest of a proposal covers its whole record except the digest itself
 * and the store lease, so an approval applies to exactly what the member was
 * shown.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

#define ID_SUFFIX_SIZE 9

/**
 * FvProposal_NewId - make an id that sorts by base version
 * @base_version: the version the proposal builds on
 * @id: filled in
 */
void
FvProposal_NewId(uint64_t base_version, char id[Fv_KEY_SIZE])
{
    char suffix[ID_SUFFIX_SIZE];

    FvText_RandomHex(suffix, sizeof(suffix));
    snprintf(id, Fv_KEY_SIZE, "%010llu-%s", (unsigned long long)base_version,
             suffix);
}

/**
 * FvProposal_IsValidId - whether a text has the form of a proposal id
 * @id: the text
 *
 * Return: true for ten digits, a hyphen and eight hexadecimal digits.
 */
bool
FvProposal_IsValidId(const char *id)
{
    return strspn(id, "0123456789") == 10 && id[10] == '-' &&
           strspn(id + 11, "0123456789abcdef") == 8 && id[19] == '\0';
}

/* Whether @config contains @contract of @other unchanged. */
static bool
has_same_contract(const fv_config_t *config, const fv_config_t *other,
                  const fv_contract_t *contract)
{
    const fv_contract_t *own = FvConfig_FindContract(config, contract->member);
    char digest[Fv_HASH256_HEX_SIZE];
    char own_digest[Fv_HASH256_HEX_SIZE];

    if (own == NULL) {
        return false;
    }
    FvConfig_ContractDigest(other, contract, digest);
    FvConfig_ContractDigest(config, own, own_digest);
    return strcmp(digest, own_digest) == 0;
}

/* Contracts of @from that differ in, or are missing from, @other. */
static json_t *
differing_contracts(const fv_config_t *from, const fv_config_t *other)
{
    json_t *differing = json_object();

    for (uint32_t i = 0; from != NULL && i < from->contract_count; i++) {
        const fv_contract_t *contract = &from->contracts[i];

        if (!has_same_contract(other, from, contract)) {
            json_object_set_new(differing, contract->member,
                                FvContract_ToJson(contract));
        }
    }
    return differing;
}

static json_t *
member_names(const fv_config_t *config)
{
    json_t *names = json_array();

    for (uint32_t i = 0; i < config->contract_count; i++) {
        json_array_append_new(names, json_string(config->contracts[i].member));
    }
    return names;
}

/**
 * FvProposal_Digest - digest of a proposal's content
 * @proposal: the record
 * @digest: filled with hexadecimal digits
 */
void
FvProposal_Digest(const json_t *proposal, char digest[Fv_HASH256_HEX_SIZE])
{
    json_t *content = json_copy((json_t *)proposal);

    json_object_del(content, "digest");
    json_object_del(content, "lease");
    FvJson_Digest(content, digest);
    json_decref(content);
}

/**
 * FvProposal_New - create the record of a proposal
 * @id: its id
 * @author: the member that requested it
 * @base: the configuration it changes; NULL at version 0
 * @next: the proposed configuration
 * @answers: answers that the changed contracts were generated from, by member
 * @created_ms: wall-clock time
 *
 * Every member of the base version must approve; at version 0, every member of
 * the proposal.
 *
 * Return: the record, or NULL when nothing changes.
 */
json_t *
FvProposal_New(const char *id, const char *author, const fv_config_t *base,
               const fv_config_t *next, json_t *answers, int64_t created_ms)
{
    char digest[Fv_HASH256_HEX_SIZE];
    json_t *before = differing_contracts(base, next);
    json_t *after = differing_contracts(next, base);
    json_t *proposal = NULL;

    if (json_object_size(before) + json_object_size(after) == 0) {
        json_decref(before);
        json_decref(after);
        return NULL;
    }
    proposal = json_pack("{s:s, s:s, s:I, s:s, s:I, s:o, s:o, s:o, s:o, s:O}",
                         "id", id, "author", author, "base_version",
                         (json_int_t)(base ? base->version : 0), "base_digest",
                         base ? base->digest : "", "created_ms",
                         (json_int_t)created_ms, "voters",
                         member_names(base ? base : next), "before", before,
                         "after", after, "contracts",
                         FvConfig_ContractDigests(next), "answers", answers);
    FvProposal_Digest(proposal, digest);
    json_object_set_new(proposal, "digest", json_string(digest));
    return proposal;
}

static bool
after_matches_digests(const json_t *proposal)
{
    char reason[Fv_REASON_SIZE];
    char digest[Fv_HASH256_HEX_SIZE];
    json_t *after = json_object_get(proposal, "after");
    const json_t *digests = json_object_get(proposal, "contracts");
    const char *member;
    json_t *object;
    fv_contract_t contract;

    json_object_foreach(after, member, object)
    {
        const char *expected = FvJson_String(digests, member);

        if (!FvContract_FromJson(object, &contract, reason)) {
            return false;
        }
        FvContract_Digest(&contract, digest);
        if (strcmp(contract.member, member) != 0 || expected == NULL ||
            strcmp(digest, expected) != 0) {
            return false;
        }
    }
    return true;
}

/**
 * FvProposal_IsIntact - whether a record read from the store is consistent
 * @proposal: the record, or NULL
 *
 * Return: true when its digest and those of its contracts match its content.
 */
bool
FvProposal_IsIntact(const json_t *proposal)
{
    char digest[Fv_HASH256_HEX_SIZE];
    const char *stored = FvJson_String(proposal, "digest");

    if (stored == NULL || FvJson_String(proposal, "id") == NULL ||
        FvJson_String(proposal, "author") == NULL ||
        FvJson_String(proposal, "base_digest") == NULL ||
        json_array_size(json_object_get(proposal, "voters")) == 0) {
        return false;
    }
    FvProposal_Digest(proposal, digest);
    return strcmp(digest, stored) == 0 && after_matches_digests(proposal);
}

/**
 * FvProposal_IsVoter - whether a member's approval is required
 * @proposal: the record
 * @member: the member
 *
 * Return: true for every member of the base version, and at version 0 for
 * every member of the proposal.
 */
bool
FvProposal_IsVoter(const json_t *proposal, const char *member)
{
    size_t index;
    const json_t *name;

    json_array_foreach(json_object_get(proposal, "voters"), index, name)
    {
        if (strcmp(json_string_value(name), member) == 0) {
            return true;
        }
    }
    return false;
}

/**
 * FvProposal_MayRead - whether a member may read a proposal
 * @proposal: the record
 * @member: the member
 *
 * Return: true for those who vote, its author and every member it covers.
 */
bool
FvProposal_MayRead(const json_t *proposal, const char *member)
{
    const char *author = FvJson_String(proposal, "author");

    return (author != NULL && strcmp(author, member) == 0) ||
           FvProposal_IsVoter(proposal, member) ||
           json_object_get(json_object_get(proposal, "contracts"), member) !=
               NULL;
}

/**
 * FvProposal_MayVote - whether a member's vote is accepted
 * @proposal: the record
 * @member: the member
 *
 * A joining author is not a required voter, but it may reject, which
 * withdraws the proposal.
 *
 * Return: true for those who must approve and for the author.
 */
bool
FvProposal_MayVote(const json_t *proposal, const char *member)
{
    const char *author = FvJson_String(proposal, "author");

    return (author != NULL && strcmp(author, member) == 0) ||
           FvProposal_IsVoter(proposal, member);
}

/**
 * FvProposal_EncodeVote - encode a vote as stored
 * @member: who votes
 * @approves: approve or reject
 * @digest: digest of the proposal the member was shown
 *
 * The same vote always has the same text, so that a repeated request writes
 * the same value and the activation can compare it.
 *
 * Return: a string to be freed.
 */
char *
FvProposal_EncodeVote(const char *member, bool approves, const char *digest)
{
    json_t *vote =
        json_pack("{s:s, s:s, s:s}", "member", member, "vote",
                  approves ? "approve" : "reject", "digest", digest);
    char *text = json_dumps(vote, JSON_COMPACT | JSON_SORT_KEYS);

    json_decref(vote);
    return text;
}

/**
 * FvProposal_GetVote - get a member's vote
 * @proposal: the record
 * @votes: object of vote records by member
 * @member: the member
 *
 * Return: the vote; Fv_VOTE_NONE also when it was given for another digest.
 */
fv_vote_t
FvProposal_GetVote(const json_t *proposal, const json_t *votes,
                   const char *member)
{
    const json_t *vote = json_object_get(votes, member);
    const char *voted = FvJson_String(vote, "vote");
    const char *digest = FvJson_String(vote, "digest");
    const char *expected = FvJson_String(proposal, "digest");

    if (voted == NULL || digest == NULL || expected == NULL ||
        strcmp(digest, expected) != 0) {
        return Fv_VOTE_NONE;
    }
    if (strcmp(voted, "approve") == 0) {
        return Fv_VOTE_APPROVE;
    }
    return strcmp(voted, "reject") == 0 ? Fv_VOTE_REJECT : Fv_VOTE_NONE;
}

static void
count_vote(fv_tally_t *tally, fv_vote_t vote, const char *member,
           bool required)
{
    if (vote == Fv_VOTE_REJECT) {
        tally->rejected++;
    }
    else if (required && vote == Fv_VOTE_APPROVE) {
        tally->approved++;
    }
    else if (required && tally->missing++ == 0) {
        FvText_Copy(tally->first_missing, sizeof(tally->first_missing),
                    member);
    }
}

/**
 * FvProposal_CountVotes - count the valid votes
 * @proposal: the record
 * @votes: object of vote records by member
 * @except: member whose vote is not counted, or NULL
 * @tally: filled in
 *
 * Votes of members that may not vote and votes on another digest don't count.
 */
void
FvProposal_CountVotes(const json_t *proposal, const json_t *votes,
                      const char *except, fv_tally_t *tally)
{
    const char *author = FvJson_String(proposal, "author");
    size_t index;
    const json_t *name;

    memset(tally, 0, sizeof(*tally));
    json_array_foreach(json_object_get(proposal, "voters"), index, name)
    {
        const char *member = json_string_value(name);

        if (except == NULL || strcmp(member, except) != 0) {
            count_vote(tally, FvProposal_GetVote(proposal, votes, member),
                       member, true);
        }
    }
    if (!FvProposal_IsVoter(proposal, author) &&
        (except == NULL || strcmp(author, except) != 0)) {
        count_vote(tally, FvProposal_GetVote(proposal, votes, author), author,
                   false);
    }
}

/**
 * FvProposal_IsActive - whether the head was written by this proposal
 * @proposal: the record
 * @head: the value of config/head, or NULL
 *
 * Return: true when the head names this proposal.
 */
bool
FvProposal_IsActive(const json_t *proposal, const json_t *head)
{
    const char *id = FvJson_String(head, "proposal");
    const char *own_id = FvJson_String(proposal, "id");

    return id != NULL && own_id != NULL && strcmp(id, own_id) == 0;
}

/**
 * FvProposal_BaseIsActive - whether the base version is still active
 * @proposal: the record
 * @head: the value of config/head; NULL at version 0
 *
 * Return: false once another proposal was activated.
 */
bool
FvProposal_BaseIsActive(const json_t *proposal, const json_t *head)
{
    const char *digest = FvJson_String(head, "digest");
    const char *base_digest = FvJson_String(proposal, "base_digest");

    return FvJson_Int(proposal, "base_version", -1) ==
               FvJson_Int(head, "version", 0) &&
           base_digest != NULL &&
           strcmp(base_digest, digest ? digest : "") == 0;
}

/**
 * FvProposal_WasActivated - whether a proposal is or was active
 * @proposal: the record
 * @votes: object of vote records by member
 * @head: the value of config/head; NULL at version 0
 *
 * The last approval and the activation are written in one transaction, so a
 * proposal with all approvals and a base that is no longer active was
 * activated.
 *
 * Return: true when its result is, or was, the active configuration.
 */
bool
FvProposal_WasActivated(const json_t *proposal, const json_t *votes,
                        const json_t *head)
{
    fv_tally_t tally;

    if (FvProposal_IsActive(proposal, head)) {
        return true;
    }
    FvProposal_CountVotes(proposal, votes, NULL, &tally);
    return tally.missing == 0 && tally.rejected == 0 &&
           !FvProposal_BaseIsActive(proposal, head);
}

/**
 * FvProposal_State - name of the state, as shown to members
 * @proposal: the record
 * @votes: object of vote records by member
 * @head: the value of config/head; NULL at version 0
 *
 * Return: "active" while its result is the head, "replaced" when it was
 * active before, "rejected", "open", or "superseded" when another proposal
 * was activated first.
 */
const char *
FvProposal_State(const json_t *proposal, const json_t *votes,
                 const json_t *head)
{
    fv_tally_t tally;

    if (FvProposal_IsActive(proposal, head)) {
        return "active";
    }
    if (FvProposal_WasActivated(proposal, votes, head)) {
        return "replaced";
    }
    FvProposal_CountVotes(proposal, votes, NULL, &tally);
    if (tally.rejected > 0) {
        return "rejected";
    }
    return FvProposal_BaseIsActive(proposal, head) ? "open" : "superseded";
}

/**
 * FvProposal_NewHead - create the head that the proposal's activation writes
 * @proposal: the record
 *
 * Return: a new object.
 */
json_t *
FvProposal_NewHead(const json_t *proposal)
{
    char digest[Fv_HASH256_HEX_SIZE];
    json_t *contracts = json_object_get(proposal, "contracts");
    int64_t version = FvJson_Int(proposal, "base_version", 0) + 1;

    FvConfig_DigestFromContracts((uint64_t)version, contracts, digest);
    return json_pack("{s:I, s:s, s:O, s:s}", "version", (json_int_t)version,
                     "digest", digest, "contracts", contracts, "proposal",
                     FvJson_String(proposal, "id"));
}

static void
add_vote_to_summary(json_t *summary, const json_t *proposal,
                    const json_t *votes, const char *member)
{
    static const char *const lists[] = {
        [Fv_VOTE_NONE] = "missing",
        [Fv_VOTE_APPROVE] = "approved",
        [Fv_VOTE_REJECT] = "rejected",
    };
    fv_vote_t vote = FvProposal_GetVote(proposal, votes, member);

    json_array_append_new(json_object_get(summary, lists[vote]),
                          json_string(member));
}

/**
 * FvProposal_Summary - describe state and votes for members
 * @proposal: the record
 * @votes: object of vote records by member
 * @head: the value of config/head; NULL at version 0
 *
 * Return: a new object.
 */
json_t *
FvProposal_Summary(const json_t *proposal, const json_t *votes,
                   const json_t *head)
{
    const char *author = FvJson_String(proposal, "author");
    size_t index;
    const json_t *name;
    json_t *summary = json_pack(
        "{s:s, s:s, s:I, s:I, s:s, s:s, s:[], s:[], s:[]}", "id",
        FvJson_String(proposal, "id"), "author", author, "base_version",
        (json_int_t)FvJson_Int(proposal, "base_version", 0), "created_ms",
        (json_int_t)FvJson_Int(proposal, "created_ms", 0), "digest",
        FvJson_String(proposal, "digest"), "state",
        FvProposal_State(proposal, votes, head), "approved", "missing",
        "rejected");

    json_array_foreach(json_object_get(proposal, "voters"), index, name)
    {
        add_vote_to_summary(summary, proposal, votes, json_string_value(name));
    }
    if (!FvProposal_IsVoter(proposal, author) &&
        FvProposal_GetVote(proposal, votes, author) == Fv_VOTE_REJECT) {
        add_vote_to_summary(summary, proposal, votes, author);
    }
    return summary;
}

static void diff_values(json_t *changes, const char *path, json_t *before,
                        json_t *after);

static void
diff_child(json_t *changes, const char *path, const char *key, json_t *before,
           json_t *after)
{
    char child[256];

    snprintf(child, sizeof(child), "%s%s%s", path, *path ? "." : "", key);
    diff_values(changes, child, before, after);
}

/* Turns a list of named objects into an object by name. */
static json_t *
index_by_name(json_t *value)
{
    json_t *indexed;
    size_t index;
    json_t *entry;

    if (!json_is_array(value)) {
        return json_incref(value);
    }
    indexed = json_object();
    json_array_foreach(value, index, entry)
    {
        const char *name = FvJson_String(entry, "name");

        if (name != NULL) {
            json_object_set(indexed, name, entry);
        }
    }
    return indexed;
}

static void
diff_objects(json_t *changes, const char *path, json_t *before, json_t *after)
{
    const char *key;
    json_t *value;

    json_object_foreach(before, key, value)
    {
        diff_child(changes, path, key, value, json_object_get(after, key));
    }
    json_object_foreach(after, key, value)
    {
        if (json_object_get(before, key) == NULL) {
            diff_child(changes, path, key, NULL, value);
        }
    }
}

static void
diff_values(json_t *changes, const char *path, json_t *before, json_t *after)
{
    json_t *indexed_before;
    json_t *indexed_after;

    if (json_equal(before, after)) {
        return;
    }
    indexed_before = index_by_name(before);
    indexed_after = index_by_name(after);
    if (json_is_object(indexed_before) && json_is_object(indexed_after)) {
        diff_objects(changes, path, indexed_before, indexed_after);
    }
    else {
        json_array_append_new(changes,
                              json_pack("{s:s, s:O?, s:O?}", "path", path,
                                        "before", before, "after", after));
    }
    json_decref(indexed_before);
    json_decref(indexed_after);
}

static json_t *
diff_member(json_t *before, json_t *after)
{
    const char *change = "changed";
    json_t *changes = json_array();

    if (before == NULL) {
        change = "joins";
    }
    else if (after == NULL) {
        change = "leaves";
    }
    else {
        diff_values(changes, "", before, after);
    }
    return json_pack("{s:s, s:o, s:O?, s:O?}", "change", change, "changes",
                     changes, "before", before, "after", after);
}

/**
 * FvProposal_Diff - describe the changes of a proposal
 * @proposal: the record
 *
 * Return: a new object with base version, digest and, for each member whose
 * contract changes, both contracts and the list of changed fields.
 */
json_t *
FvProposal_Diff(const json_t *proposal)
{
    json_t *before = json_object_get(proposal, "before");
    json_t *after = json_object_get(proposal, "after");
    json_t *members = json_object();
    const char *member;
    json_t *contract;

    json_object_foreach(after, member, contract)
    {
        json_object_set_new(
            members, member,
            diff_member(json_object_get(before, member), contract));
    }
    json_object_foreach(before, member, contract)
    {
        if (json_object_get(after, member) == NULL) {
            json_object_set_new(members, member, diff_member(contract, NULL));
        }
    }
    return json_pack(
        "{s:s, s:I, s:s, s:o}", "id", FvJson_String(proposal, "id"),
        "base_version", (json_int_t)FvJson_Int(proposal, "base_version", 0),
        "digest", FvJson_String(proposal, "digest"), "members", members);
}
