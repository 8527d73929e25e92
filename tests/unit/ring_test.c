/*
 * The ring buffer: items keep their order, the capacity is a limit, and a
 * producer learns when its item was not stored.
 */

#include "fireflyvalve.h"
#include "suite.h"

static void
test_order_is_kept(void)
{
    fv_ring_t *ring = FvRing_New(4);
    int values[3] = {0};

    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(FvRing_TryPush(ring, &values[i]));
    }
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_PTR_EQUAL(FvRing_Pop(ring, 0), &values[i]);
    }
    CU_ASSERT_PTR_NULL(FvRing_Pop(ring, 1));
    FvRing_Free(ring);
}

static void
test_full_or_closed_ring_rejects(void)
{
    fv_ring_t *ring = FvRing_New(2);
    int value;

    CU_ASSERT_TRUE(FvRing_TryPush(ring, &value));
    CU_ASSERT_TRUE(FvRing_TryPush(ring, &value));
    CU_ASSERT_FALSE(FvRing_TryPush(ring, &value));
    FvRing_Close(ring);
    CU_ASSERT_FALSE(FvRing_Push(ring, &value));
    FvRing_Free(ring);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"items are popped in another order than pushed", test_order_is_kept},
        {"a full or closed ring accepts an item",
         test_full_or_closed_ring_rejects},
    };

    return Fv_RUN_SUITE("ring", cases);
}
