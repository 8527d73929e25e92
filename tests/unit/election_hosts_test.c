/*
 * The registry of hosts: entries that come and go, and the entry of a host
 * that claims the leadership.
 */

#include "election_fixture.h"
#include "entry-hosts.h"

static void
deliver_host_entry(const char *name, const char *value, bool deleted)
{
    char key[Fv_KEY_SIZE];
    fv_kv_item_t item = {.key = key, .deleted = deleted, .revision = 6};

    snprintf(key, sizeof(key), "%s%s", Fv_KEY_HOSTS, name);
    item.value =
        (fv_buffer_t){.data = (uint8_t *)value, .length = strlen(value)};
    fake_kv.watcher.item(fake_kv.watcher.context, &item);
}

/* Machines are replaced under new names over several weeks. */
static void
test_removed_hosts_are_forgotten(void)
{
    const fv_peer_entry_t *hosts;

    open_election("1");
    /* This host's entry was removed while it was unreachable. */
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 6});
    deliver_host_entry("akl-1", "", true);
    fake_kv_run_loop(base, 150);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_TXN), 2);
    CU_ASSERT_STRING_EQUAL(fake_kv_latest(FAKE_KV_TXN)->puts[0].key,
                           Fv_KEY_HOSTS "akl-1");
    close_election();

    open_election("1");
    for (uint32_t i = 0; i < Fv_HOSTS_MAX; i++) {
        char name[Fv_NAME_SIZE];

        snprintf(name, sizeof(name), "old-%u", i);
        deliver_host_entry(name, "127.0.0.1:9 8.000", false);
        deliver_host_entry(name, "", true);
    }
    deliver_host_entry("new", "127.0.0.1:9 0.500", false);
    CU_ASSERT_EQUAL(FvElection_Hosts(election, &hosts), 1);
    CU_ASSERT_STRING_EQUAL(hosts[0].name, "new");
    close_election();
}

/* The largest host has been removed; the others must not wait for its claim.
 */
static void
test_election_ignores_removed_host(void)
{
    fv_kv_item_t leader = {.key = (char *)Fv_KEY_LEADER, .revision = 7};

    open_election("1");
    fake_kv.watcher.item(fake_kv.watcher.context, &leader);
    deliver_host_entry("big", "127.0.0.1:9 8.000", false);
    deliver_host_entry("big", "", true);
    leader.deleted = true;
    fake_kv.watcher.item(fake_kv.watcher.context, &leader);
    fake_kv_run_loop(base, 250);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 1);
    close_election();
}

static void
test_remove_host_deletes_its_entry(void)
{
    fake_kv_call_t *call;

    open_election("1");
    FvElection_RemoveHost(election, "old", 77);
    call = fake_kv_latest(FAKE_KV_TXN);
    CU_ASSERT_STRING_EQUAL(call->expected_key, Fv_KEY_LEADER);
    CU_ASSERT_EQUAL(call->expected_revision, 77);
    CU_ASSERT_STRING_EQUAL(call->puts[0].key, Fv_KEY_HOSTS "old");
    CU_ASSERT_TRUE(call->puts[0].removed);
    close_election();
}

/* All registered hosts are linked to a new leader, which then takes every
 * earlier leader for stopped. */
static void
test_claim_registers_its_host(void)
{
    fake_kv_call_t *claim;
    bool registers = false;

    open_election("41");
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    claim = send_claim();
    CU_ASSERT_STRING_EQUAL_FATAL(claim->puts[0].key, Fv_KEY_LEADER);
    for (uint32_t i = 0; i < claim->put_count; i++) {
        registers =
            registers ||
            (strcmp(claim->puts[i].key, Fv_KEY_HOSTS "akl-1") == 0 &&
             strcmp(claim->puts[i].value, "127.0.0.1:1 1.000 260") == 0);
    }
    CU_ASSERT_TRUE(registers);
    close_election();
}

/* The registry is read again after the store has dropped its history. All
 * hosts are unlisted until their page arrives, and one of them is an earlier
 * leader that is out of reach. */
static void
test_registry_is_read_again(void)
{
    static fv_entry_t entry;

    open_election("1");
    entry.election = election;
    entry.self = FvEntryHosts_FindOrAdd(&entry, "akl-1");
    deliver_host_entry("akl-1", "127.0.0.1:1 1.000", false);
    deliver_host_entry("akl-2", "127.0.0.1:9 1.000", false);
    CU_ASSERT_FALSE(FvEntryHosts_AreAllLinked(&entry));
    fake_kv.watcher.begin(fake_kv.watcher.context);
    CU_ASSERT_FALSE(FvEntryHosts_AreAllLinked(&entry));
    deliver_host_entry("akl-1", "127.0.0.1:1 1.000", false);
    CU_ASSERT_FALSE(FvEntryHosts_AreAllLinked(&entry));
    /* The second page failed, and the reading begins anew. */
    fake_kv.watcher.begin(fake_kv.watcher.context);
    deliver_host_entry("akl-1", "127.0.0.1:1 1.000", false);
    deliver_host_entry("akl-2", "127.0.0.1:9 1.000", false);
    fake_kv.watcher.loaded(fake_kv.watcher.context);
    CU_ASSERT_FALSE(FvEntryHosts_AreAllLinked(&entry));
    deliver_host_entry("akl-2", "", true);
    CU_ASSERT_TRUE(FvEntryHosts_AreAllLinked(&entry));
    for (uint32_t i = 0; i < entry.host_state_count; i++) {
        free(entry.host_states[i]);
    }
    close_election();
}

/* Another host was elected and lost its lease at once. This host learns of it
 * from its own claim that failed, before the watch tells that it is
 * registered.
 */
static void
test_predecessor_not_seen_in_the_registry(void)
{
    static fv_entry_t entry;
    fv_host_state_t *predecessor;

    open_election("41");
    entry.election = election;
    entry.self = FvEntryHosts_FindOrAdd(&entry, "akl-1");
    deliver_host_entry("akl-1", "127.0.0.1:1 1.000", false);
    fake_kv_answer_item(send_claim(), Fv_KV_CONFLICT, Fv_KEY_GENERATION,
                        "42 akl-2", 8);
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 9});
    CU_ASSERT_EQUAL(outcome.won, 1);
    CU_ASSERT_STRING_EQUAL(FvElection_Predecessor(election)->host, "akl-2");
    CU_ASSERT_FALSE(FvEntryHosts_AreAllLinked(&entry));
    predecessor = FvEntryHosts_FindOrAdd(&entry, "akl-2");
    CU_ASSERT_PTR_NOT_NULL_FATAL(predecessor);
    if (predecessor == NULL) {
        abort();
    }
    predecessor->joined = true;
    CU_ASSERT_TRUE(FvEntryHosts_AreAllLinked(&entry));
    for (uint32_t i = 0; i < entry.host_state_count; i++) {
        free(entry.host_states[i]);
    }
    close_election();
}

/* The smallest host may lead next. Hosts of earlier builds do not tell their
 * memory. */
static void
test_memory_of_the_smallest_host(void)
{
    open_election("1");
    CU_ASSERT_EQUAL(FvElection_SmallestMemoryMb(election), 260);
    deliver_host_entry("old", "127.0.0.1:9 1.000", false);
    deliver_host_entry("large", "127.0.0.1:9 1.000 512", false);
    CU_ASSERT_EQUAL(FvElection_SmallestMemoryMb(election), 260);
    deliver_host_entry("small", "127.0.0.1:9 0.120 160", false);
    CU_ASSERT_EQUAL(FvElection_SmallestMemoryMb(election), 160);
    deliver_host_entry("small", "", true);
    CU_ASSERT_EQUAL(FvElection_SmallestMemoryMb(election), 260);
    close_election();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"removed hosts exhaust the table, or a live one stays removed",
         test_removed_hosts_are_forgotten},
        {"an election waits for a removed host",
         test_election_ignores_removed_host},
        {"the entry of a removed host stays in the store, or a late removal "
         "hides a host that has led since",
         test_remove_host_deletes_its_entry},
        {"a host that is not registered leads, and its successor takes it for "
         "stopped",
         test_claim_registers_its_host},
        {"an earlier leader counts as stopped while the hosts are read again",
         test_registry_is_read_again},
        {"jobs are accepted that the smallest host can't hold when it leads",
         test_memory_of_the_smallest_host},
        {"a predecessor that the registry has not shown yet counts as stopped",
         test_predecessor_not_seen_in_the_registry},
    };

    return Fv_RUN_SUITE("election_hosts", cases);
}
