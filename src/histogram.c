/*
 * Log-linear histogram of microseconds with a bounded relative error.
 *
 * Each power of two is divided into 32 buckets of equal width. A bucket is at
 * most 1/32 of its values wide, so its midpoint, which quantiles return,
 * differs from any value in the bucket by at most 1/64 (1.6 %). Values below
 * 64 us are exact. Values of 2^40 us (12.7 days) and more share the last
 * bucket.
 */

#include "fireflyvalve.h"

#include <math.h>
#include <stdlib.h>

#define Fv_SUB_BITS 5
#define Fv_SUB_BUCKETS (1 << Fv_SUB_BITS)
#define Fv_VALUE_BITS 40
#define Fv_BUCKETS ((Fv_VALUE_BITS - Fv_SUB_BITS + 1) * Fv_SUB_BUCKETS)

struct fv_histogram {
    atomic_uint_fast64_t buckets[Fv_BUCKETS];
    atomic_uint_fast64_t count;
    atomic_int_fast64_t sum;
    atomic_int_fast64_t max;
};

/**
 * FvHistogram_New - allocate an empty histogram (about 9 KiB)
 *
 * Return: the histogram, or NULL when memory is exhausted.
 */
fv_histogram_t *
FvHistogram_New(void)
{
    return calloc(1, sizeof(fv_histogram_t));
}

/**
 * FvHistogram_Free - free a histogram
 * @histogram: the histogram, or NULL
 */
void
FvHistogram_Free(fv_histogram_t *histogram)
{
    free(histogram);
}

static int
bucket_index(int64_t value)
{
    int shift;

    if (value >= INT64_C(1) << Fv_VALUE_BITS) {
        return Fv_BUCKETS - 1;
    }
    if (value < 2 * Fv_SUB_BUCKETS) {
        return (int)value;
    }
    shift = 63 - __builtin_clzll((unsigned long long)value) - Fv_SUB_BITS;
    return shift * Fv_SUB_BUCKETS + (int)(value >> shift);
}

static int64_t
bucket_midpoint(int bucket)
{
    int shift;
    int64_t lowest;

    if (bucket < 2 * Fv_SUB_BUCKETS) {
        return bucket;
    }
    shift = bucket / Fv_SUB_BUCKETS - 1;
    lowest = (int64_t)(bucket % Fv_SUB_BUCKETS + Fv_SUB_BUCKETS) << shift;
    return lowest + (INT64_C(1) << shift) / 2;
}

/**
 * FvHistogram_Record - add a value; safe to call from any thread
 * @histogram: the histogram
 * @value_us: the value; a negative value is recorded as 0
 */
void
FvHistogram_Record(fv_histogram_t *histogram, int64_t value_us)
{
    int64_t value = value_us < 0 ? 0 : value_us;
    int_fast64_t max = atomic_load(&histogram->max);

    while (value > max &&
           !atomic_compare_exchange_weak(&histogram->max, &max, value)) {
    }
    atomic_fetch_add(&histogram->sum, value);
    atomic_fetch_add(&histogram->buckets[bucket_index(value)], 1);
    atomic_fetch_add(&histogram->count, 1);
}

/**
 * FvHistogram_Quantile - estimate a quantile
 * @histogram: the histogram
 * @q: the quantile, 0 to 1
 *
 * Return: the value, with a relative error of at most 1/64; 0 when the
 * histogram is empty.
 */
int64_t
FvHistogram_Quantile(const fv_histogram_t *histogram, double q)
{
    uint64_t rank = (uint64_t)ceil(q * (double)FvHistogram_Count(histogram));
    int64_t max = FvHistogram_Max(histogram);
    uint64_t cumulative = 0;

    if (rank == 0) {
        rank = 1;
    }
    for (int i = 0; i < Fv_BUCKETS - 1; i++) {
        cumulative += atomic_load(&histogram->buckets[i]);
        if (cumulative >= rank) {
            return bucket_midpoint(i) < max ? bucket_midpoint(i) : max;
        }
    }
    return max;
}

/**
 * FvHistogram_Count - number of recorded values
 * @histogram: the histogram
 *
 * Return: the count.
 */
uint64_t
FvHistogram_Count(const fv_histogram_t *histogram)
{
    return atomic_load(&histogram->count);
}

/**
 * FvHistogram_Max - exact maximum of the recorded values
 * @histogram: the histogram
 *
 * Return: the maximum; 0 when the histogram is empty.
 */
int64_t
FvHistogram_Max(const fv_histogram_t *histogram)
{
    return atomic_load(&histogram->max);
}

/**
 * FvHistogram_Sum - exact sum of the recorded values
 * @histogram: the histogram
 *
 * Return: the sum.
 */
int64_t
FvHistogram_Sum(const fv_histogram_t *histogram)
{
    return atomic_load(&histogram->sum);
}
