/*
 * Since when the stored list of unreached workers has its entries, by the
 * clock of this host.
 */

#include "election.h"

#include <stdlib.h>
#include <string.h>

struct fv_unreached_entry {
    char line[Fv_KEY_SIZE];
    int64_t seen_ms;
    UT_hash_handle hh;
};

static fv_unreached_entry_t *
find_entry(fv_unreached_entry_t *entries, const char *line)
{
    fv_unreached_entry_t *entry = NULL;

    HASH_FIND_STR(entries, line, entry);
    return entry;
}

static void
free_entries(fv_unreached_entry_t *entries)
{
    fv_unreached_entry_t *entry;
    fv_unreached_entry_t *next;

    for (entry = entries; entry != NULL; entry = next) {
        next = entry->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(entries, entry);
        free(entry);
    }
}

/**
 * FvElectionUnreached_Update - apply the list as read from the store
 * @election: the election
 * @item: the list, or its removal
 */
void
FvElectionUnreached_Update(fv_election_t *election, const fv_kv_item_t *item)
{
    fv_unreached_entry_t *entries = NULL;
    char *rest = NULL;

    for (char *line = item->value.data != NULL
                          ? strtok_r((char *)item->value.data, "\n", &rest)
                          : NULL;
         line != NULL; line = strtok_r(NULL, "\n", &rest)) {
        const fv_unreached_entry_t *known =
            find_entry(election->unreached, line);
        fv_unreached_entry_t *entry = NULL;

        if (strlen(line) >= sizeof(entry->line) ||
            find_entry(entries, line) != NULL ||
            (entry = calloc(1, sizeof(*entry))) == NULL) {
            continue; /* counts as seen later */
        }
        FvText_Copy(entry->line, sizeof(entry->line), line);
        entry->seen_ms = known != NULL ? known->seen_ms : FvClock_NowMs();
        HASH_ADD_STR(entries, line, entry);
    }
    free_entries(election->unreached);
    election->unreached = entries;
}

/**
 * FvElection_UnreachedSince - a time at which an entry was in the stored list
 * of unreached workers
 * @election: the election
 * @line: the entry
 *
 * Return: the earliest such time that is known here; 0 when there is none.
 */
int64_t
FvElection_UnreachedSince(const fv_election_t *election, const char *line)
{
    const fv_unreached_entry_t *entry = find_entry(election->unreached, line);

    return entry != NULL ? entry->seen_ms : 0;
}

/**
 * FvElectionUnreached_Free - free what is known of the list
 * @election: the election
 */
void
FvElectionUnreached_Free(fv_election_t *election)
{
    free_entries(election->unreached);
    election->unreached = NULL;
}
