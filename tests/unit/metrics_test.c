/*
 * Quantiles must keep their stated error, counts must not be lost between
 * threads, and a growing number of members must not grow memory.
 */

#include "fireflyvalve.h"
#include "suite.h"

#include <pthread.h>
#include <string.h>

#define Fv_HOUR_US INT64_C(3600000000)
#define Fv_THREADS 8
#define Fv_RECORDS 20000

static void
test_error_bound(void)
{
    for (int64_t value = 0; value < 24 * Fv_HOUR_US; value += value / 97 + 1) {
        fv_histogram_t *histogram = FvHistogram_New();
        int64_t error;

        FvHistogram_Record(histogram, value);
        /* A larger value keeps the quantile from being capped at the max. */
        FvHistogram_Record(histogram, 24 * Fv_HOUR_US);
        error = FvHistogram_Quantile(histogram, 0.5) - value;
        CU_ASSERT_TRUE((error < 0 ? -error : error) * 64 <= value);
        FvHistogram_Free(histogram);
    }
}

static void
test_quantiles(void)
{
    fv_histogram_t *histogram = FvHistogram_New();

    CU_ASSERT_EQUAL(FvHistogram_Quantile(histogram, 0.99), 0);
    for (int64_t value = 1; value <= 10000; value++) {
        FvHistogram_Record(histogram, value);
    }
    for (int percent = 1; percent <= 100; percent++) {
        int64_t exact = percent * 100;
        int64_t error =
            FvHistogram_Quantile(histogram, percent / 100.0) - exact;

        CU_ASSERT_TRUE((error < 0 ? -error : error) * 64 <= exact);
    }
    CU_ASSERT_EQUAL(FvHistogram_Max(histogram), 10000);
    CU_ASSERT_EQUAL(FvHistogram_Sum(histogram), 50005000);
    CU_ASSERT_EQUAL(FvHistogram_Count(histogram), 10000);
    FvHistogram_Free(histogram);
}

static void
test_extremes(void)
{
    fv_histogram_t *histogram = FvHistogram_New();

    FvHistogram_Record(histogram, -5);
    CU_ASSERT_EQUAL(FvHistogram_Quantile(histogram, 1), 0);
    FvHistogram_Record(histogram, INT64_MAX / 2);
    CU_ASSERT_EQUAL(FvHistogram_Quantile(histogram, 1), INT64_MAX / 2);
    FvHistogram_Free(histogram);
}

static void *
record_many(void *context)
{
    (void)context;
    for (int i = 0; i < Fv_RECORDS; i++) {
        FvMetrics_Record(Fv_TIMING_RUN, Fv_CLASS_GANG, "shared", i);
        FvMetrics_Add(Fv_COUNTER_DECISIONS, 1);
        FvMetrics_AddCrossRegionBytes("shared", 3);
    }
    return NULL;
}

static char *
print_metrics(fv_buffer_t *out)
{
    FvMetrics_Print(out);
    return (char *)out->data;
}

static void
test_concurrent_recording(void)
{
    pthread_t threads[Fv_THREADS];
    fv_buffer_t out = {0};
    char *text;

    for (int i = 0; i < Fv_THREADS; i++) {
        pthread_create(&threads[i], NULL, record_many, NULL);
    }
    for (int i = 0; i < Fv_THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    text = print_metrics(&out);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "\nfireflyvalve_run_seconds_count{class=\"gang\","
                     "member=\"shared\"} 160000\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "\nfireflyvalve_decisions_total 160000\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\nfireflyvalve_cross_region_bytes_total{member=\"shared\"} "
              "480000\n"));
    FvBuffer_Clear(&out);
}

static void
test_many_members(void)
{
    fv_buffer_t out = {0};
    char name[32];
    char *text;

    for (int i = 0; i < 10 * Fv_MEMBERS_MAX; i++) {
        snprintf(name, sizeof(name), "member-%d", i);
        FvMetrics_AddCrossRegionBytes(name, 1);
    }
    text = print_metrics(&out);
    /* One entry is taken by the test before. */
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\nfireflyvalve_cross_region_bytes_total{member=\"*\"} 1153\n"));
    CU_ASSERT_PTR_NULL(strstr(text, "member-127"));
    FvBuffer_Clear(&out);
}

/* Each sample line needs a HELP and a TYPE line for its metric. */
static void
test_exposition_format(void)
{
    fv_buffer_t out = {0};
    char *line;
    char *state = NULL;
    char type[128] = "";

    print_metrics(&out);
    for (line = strtok_r((char *)out.data, "\n", &state); line != NULL;
         line = strtok_r(NULL, "\n", &state)) {
        if (strncmp(line, "# TYPE ", 7) == 0) {
            snprintf(type, sizeof(type), "%.*s", (int)strcspn(line + 7, " "),
                     line + 7);
        }
        else if (strncmp(line, "# HELP ", 7) != 0) {
            CU_ASSERT_EQUAL(strncmp(line, type, strlen(type)), 0);
            CU_ASSERT_EQUAL(strncmp(line, "fireflyvalve_", 13), 0);
        }
    }
    FvBuffer_Clear(&out);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a quantile is off by more than 1/64", test_error_bound},
        {"quantiles of many values are wrong", test_quantiles},
        {"an extreme value is lost", test_extremes},
        {"threads lose counts", test_concurrent_recording},
        {"members without bound use memory without bound", test_many_members},
        {"a metric lacks its type", test_exposition_format},
    };

    return Fv_RUN_SUITE("metrics", cases);
}
