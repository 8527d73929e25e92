/*
 * The leader's state of the other hosts.
 */

#include "entry-hosts.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define MINUTE_MS INT64_C(60000)

/* One host fails permanently, another is disconnected for half a minute. */
static void
test_unreachable_host_is_found_after_a_minute(void)
{
    static fv_entry_t entry;
    fv_peer_entry_t hosts[] = {{.name = "dead", .listed = true},
                               {.name = "back", .listed = true},
                               {.name = "self", .listed = true},
                               {.name = "unlisted"}};
    fv_host_state_t *recovering;

    entry.self = FvEntryHosts_FindOrAdd(&entry, "self");
    recovering = FvEntryHosts_FindOrAdd(&entry, "back");
    CU_ASSERT_PTR_NOT_NULL_FATAL(recovering);
    if (recovering == NULL) {
        abort();
    }
    CU_ASSERT_PTR_NULL(FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1000));
    recovering->joined = true;
    CU_ASSERT_PTR_NULL(
        FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1000 + MINUTE_MS / 2));
    recovering->joined = false;
    CU_ASSERT_STRING_EQUAL(
        FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1001 + MINUTE_MS),
        "dead");
    /* Returned only once, since the removal of its entry takes time. */
    CU_ASSERT_PTR_NULL(
        FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1002 + MINUTE_MS));
    for (uint32_t i = 0; i < entry.host_state_count; i++) {
        free(entry.host_states[i]);
    }
}

/* Machines are replaced under new names over several weeks. */
static void
test_host_states_are_reused(void)
{
    static fv_entry_t entry;
    char name[Fv_NAME_SIZE];

    entry.self = FvEntryHosts_FindOrAdd(&entry, "self");
    for (uint32_t i = 0; i < 2 * Fv_HOSTS_MAX; i++) {
        snprintf(name, sizeof(name), "host-%u", i);
        CU_ASSERT_PTR_NOT_NULL(FvEntryHosts_FindOrAdd(&entry, name));
    }
    CU_ASSERT_EQUAL(entry.host_state_count, Fv_HOSTS_MAX);
    CU_ASSERT_PTR_EQUAL(FvEntryHosts_FindOrAdd(&entry, "self"), entry.self);
    for (uint32_t i = 0; i < entry.host_state_count; i++) {
        free(entry.host_states[i]);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a dead host stays listed, or a reconnected one is removed",
         test_unreachable_host_is_found_after_a_minute},
        {"the states of former hosts exhaust the table",
         test_host_states_are_reused},
    };

    return Fv_RUN_SUITE("entry_hosts", cases);
}
