/*
 * Sorted array of separately allocated entries. Pointers to entries stay valid
 * until the table is cleared.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

#define Fv_TABLE_INITIAL_CAPACITY 16

/* Returns the position of the first entry whose key is not less than @key. */
static uint32_t
lower_bound(const fv_table_t *table, const char *key)
{
    uint32_t low = 0;
    uint32_t high = table->count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (strcmp(table->entries[middle], key) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void *
entry_at(const fv_table_t *table, uint32_t position, const char *key)
{
    if (position < table->count &&
        strcmp(table->entries[position], key) == 0) {
        return table->entries[position];
    }
    return NULL;
}

static bool
grow(fv_table_t *table)
{
    uint32_t capacity =
        table->capacity == 0 ? Fv_TABLE_INITIAL_CAPACITY : table->capacity * 2;
    void **entries;

    if (table->count < table->capacity) {
        return true;
    }
    entries = reallocarray(table->entries, capacity, sizeof(*entries));
    if (entries == NULL) {
        return false;
    }
    table->entries = entries;
    table->capacity = capacity;
    return true;
}

/**
 * FvTable_Find - look up an entry
 * @table: the table
 * @key: the entry's key
 *
 * Return: the entry, or NULL when it is absent.
 */
void *
FvTable_Find(const fv_table_t *table, const char *key)
{
    return entry_at(table, lower_bound(table, key), key);
}

/**
 * FvTable_FindOrAdd - look up an entry, adding it when it is absent
 * @table: the table
 * @key: the entry's key
 * @key_size: size of the key array at the start of an entry
 * @entry_size: size of an entry; the rest of a new entry is zeroed
 *
 * Return: the entry, or NULL when the key is too long or memory is exhausted.
 */
void *
FvTable_FindOrAdd(fv_table_t *table, const char *key, size_t key_size,
                  size_t entry_size)
{
    uint32_t position = lower_bound(table, key);
    size_t length = strlen(key);
    char *entry = entry_at(table, position, key);

    if (entry != NULL) {
        return entry;
    }
    if (length >= key_size || !grow(table)) {
        return NULL;
    }
    entry = calloc(1, entry_size);
    if (entry == NULL) {
        return NULL;
    }
    memcpy(entry, key, length + 1);
    memmove(table->entries + position + 1, table->entries + position,
            (table->count - position) * sizeof(*table->entries));
    table->entries[position] = entry;
    table->count++;
    return entry;
}

/**
 * FvTable_Clear - free all entries and reset the table to empty
 * @table: the table
 */
void
FvTable_Clear(fv_table_t *table)
{
    for (uint32_t i = 0; i < table->count; i++) {
        free(table->entries[i]);
    }
    free(table->entries);
    *table = (fv_table_t){0};
}
