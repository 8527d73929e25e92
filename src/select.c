/*
 * Partial sorting: the best few items of a large array.
 */

#include "decision.h"

#include <string.h>

#define Fv_SELECT_ITEM_MAX_BYTES 64

static void
swap_items(char *a, char *b, size_t size)
{
    char other[Fv_SELECT_ITEM_MAX_BYTES];

    memcpy(other, a, size);
    memcpy(a, b, size);
    memcpy(b, other, size);
}

/* Restores the heap whose best item is at index 0. */
static void
sift_down(char *items, size_t index, size_t count, size_t size,
          int (*compare)(const void *, const void *))
{
    for (;;) {
        size_t child = 2 * index + 1;

        if (child + 1 < count &&
            compare(items + (child + 1) * size, items + child * size) < 0) {
            child++;
        }
        if (child >= count ||
            compare(items + child * size, items + index * size) >= 0) {
            return;
        }
        swap_items(items + child * size, items + index * size, size);
        index = child;
    }
}

/**
 * FvSelect_Best - move the first items of the sorted order to the front
 * @items: the array
 * @count: number of items
 * @size: size of an item, at most 64 bytes
 * @wanted: how many items to sort; the others follow in any order
 * @compare: as for qsort()
 */
void
FvSelect_Best(void *items, size_t count, size_t size, size_t wanted,
              int (*compare)(const void *, const void *))
{
    char *base = items;

    wanted = wanted < count ? wanted : count;
    for (size_t i = count / 2; i-- > 0;) {
        sift_down(base, i, count, size, compare);
    }
    for (size_t taken = 0; taken < wanted; taken++) {
        size_t left = count - taken;

        swap_items(base, base + (left - 1) * size, size);
        sift_down(base, 0, left - 1, size, compare);
    }
    for (size_t i = 0; i < wanted && i < count - 1 - i; i++) {
        swap_items(base + i * size, base + (count - 1 - i) * size, size);
    }
}
