/*
 * Partial sorting.
 */

#include "decision.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 300

typedef struct item {
    int32_t key;
    char rest[28];
} item_t;

static int
by_key(const void *left, const void *right)
{
    const item_t *a = left;
    const item_t *b = right;

    return (a->key > b->key) - (a->key < b->key);
}

/* All sizes and counts, with many equal keys. */
static void
test_front_equals_that_of_sorted_array(void)
{
    uint32_t random = 12345;

    for (size_t count = 0; count < ITEMS_MAX; count += 1 + count / 8) {
        for (size_t wanted = 0; wanted <= count + 3; wanted += 1 + count / 9) {
            item_t items[ITEMS_MAX] = {0};
            item_t sorted[ITEMS_MAX];
            int64_t sum = 0;

            for (size_t i = 0; i < count; i++) {
                random = random * 1664525 + 1013904223;
                items[i].key = (int32_t)((random >> 16) % 50);
                sum += items[i].key;
            }
            memcpy(sorted, items, sizeof(sorted));
            qsort(sorted, count, sizeof(item_t), by_key);
            FvSelect_Best(items, count, sizeof(item_t), wanted, by_key);
            for (size_t i = 0; i < count; i++) {
                CU_ASSERT(i >= wanted || items[i].key == sorted[i].key);
                sum -= items[i].key;
            }
            CU_ASSERT_EQUAL(sum, 0);
        }
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the selected items are not the best ones in order",
         test_front_equals_that_of_sorted_array},
    };

    return Fv_RUN_SUITE("select", cases);
}
