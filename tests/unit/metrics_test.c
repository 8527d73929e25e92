/*
 * Metrics: quantiles stay within their error bound, concurrent updates are not
 * lost, and memory does not grow with the number of members.
 */

#include "fireflyvalve.h"
#include "suite.h"

#include <pthread.h>
#include <string.h>

#define Fv_HOUR_US INT64_C(3600000000)
#define Fv_THREADS 8
#define Fv_RECORDS_PER_THREAD 20000

static void
test_single_value_error_bound(void)
{
    for (int64_t value = 0; value < 24 * Fv_HOUR_US; value += value / 97 + 1) {
        fv_histogram_t *histogram = FvHistogram_New();
        int64_t error;

        FvHistogram_Record(histogram, value);
        /* Quantiles are capped at the maximum; a larger one lifts the cap. */
        FvHistogram_Record(histogram, 24 * Fv_HOUR_US);
        error = FvHistogram_Quantile(histogram, 0.5) - value;
        CU_ASSERT_TRUE((error < 0 ? -error : error) * 64 <= value);
        FvHistogram_Free(histogram);
    }
}

static void
test_quantiles_of_many_values(void)
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
test_negative_and_huge_values(void)
{
    fv_histogram_t *histogram = FvHistogram_New();

    FvHistogram_Record(histogram, -5);
    CU_ASSERT_EQUAL(FvHistogram_Quantile(histogram, 1), 0);
    FvHistogram_Record(histogram, INT64_MAX / 2);
    CU_ASSERT_EQUAL(FvHistogram_Quantile(histogram, 1), INT64_MAX / 2);
    FvHistogram_Free(histogram);
}

static void *
record_repeatedly(void *context)
{
    (void)context;
    for (int i = 0; i < Fv_RECORDS_PER_THREAD; i++) {
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
        pthread_create(&threads[i], NULL, record_repeatedly, NULL);
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
test_member_count_is_bounded(void)
{
    fv_buffer_t out = {0};
    char name[32];
    char *text;

    for (int i = 0; i < 10 * Fv_MEMBERS_MAX; i++) {
        snprintf(name, sizeof(name), "member-%d", i);
        FvMetrics_AddCrossRegionBytes(name, 1);
    }
    text = print_metrics(&out);
    /* test_concurrent_recording used one entry; members beyond the last entry
     * are counted together. */
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\nfireflyvalve_cross_region_bytes_total{member=\"*\"} 1153\n"));
    CU_ASSERT_PTR_NULL(strstr(text, "member-127"));
    FvBuffer_Clear(&out);
}

/* Each sample line must follow the TYPE line of its metric; HELP lines are
 * not checked. */
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
        {"the error of a quantile exceeds 1/64",
         test_single_value_error_bound},
        {"quantiles of many values exceed the error bound",
         test_quantiles_of_many_values},
        {"a negative or huge value is recorded wrongly",
         test_negative_and_huge_values},
        {"concurrent updates are lost", test_concurrent_recording},
        {"a growing number of members uses unlimited memory",
         test_member_count_is_bounded},
        {"a sample line has no TYPE line", test_exposition_format},
    };

    return Fv_RUN_SUITE("metrics", cases);
}
