/*
 * The other hosts as the leader sees them.
 */

#include "entry-hosts.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define MINUTE_MS INT64_C(60000)

/* Pattern: one host dies for good, another is cut off for half a minute. */
static void
test_host_is_gone_after_a_minute(void)
{
    static fv_entry_t entry;
    fv_peer_entry_t hosts[] = {{.name = "dead", .listed = true},
                               {.name = "back", .listed = true},
                               {.name = "self", .listed = true},
                               {.name = "unlisted"}};
    fv_host_state_t *back;

    entry.self = FvEntryHosts_Obtain(&entry, "self");
    back = FvEntryHosts_Obtain(&entry, "back");
    CU_ASSERT_PTR_NOT_NULL_FATAL(back);
    if (back == NULL) {
        abort();
    }
    CU_ASSERT_PTR_NULL(FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1000));
    back->joined = true;
    CU_ASSERT_PTR_NULL(
        FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1000 + MINUTE_MS / 2));
    back->joined = false;
    CU_ASSERT_STRING_EQUAL(
        FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1001 + MINUTE_MS),
        "dead");
    /* Told once; its removal may take a while. */
    CU_ASSERT_PTR_NULL(
        FvEntryHosts_FindUnreachable(&entry, hosts, 4, 1002 + MINUTE_MS));
    for (uint32_t i = 0; i < entry.host_state_count; i++) {
        free(entry.host_states[i]);
    }
}

/* Pattern: machines are replaced under new names for weeks. */
static void
test_slots_are_used_again(void)
{
    static fv_entry_t entry;
    char name[Fv_NAME_SIZE];

    entry.self = FvEntryHosts_Obtain(&entry, "self");
    for (uint32_t i = 0; i < 2 * Fv_HOSTS_MAX; i++) {
        snprintf(name, sizeof(name), "host-%u", i);
        CU_ASSERT_PTR_NOT_NULL(FvEntryHosts_Obtain(&entry, name));
    }
    CU_ASSERT_EQUAL(entry.host_state_count, Fv_HOSTS_MAX);
    CU_ASSERT_PTR_EQUAL(FvEntryHosts_Obtain(&entry, "self"), entry.self);
    for (uint32_t i = 0; i < entry.host_state_count; i++) {
        free(entry.host_states[i]);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a dead host stays listed, or one that comes back is removed",
         test_host_is_gone_after_a_minute},
        {"hosts that are gone leave no room for new ones",
         test_slots_are_used_again},
    };

    return Fv_RUN_SUITE("entry_hosts", cases);
}
