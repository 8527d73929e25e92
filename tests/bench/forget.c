/*
 * Measures how long a leader takes to forget workers that have gone, by the
 * size of the cell: it loses its lease when one of its ticks takes a second.
 * The jobs have no tasks on these workers.
 */

#include "platform.h"
#include "scheduler.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define JOBS 3000
#define TASKS_EACH 32
#define NOW_MS 1000000
#define NS_PER_US 1000

static const char job_format[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":%d,\"cpu\":64000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";

static void
add_workers(fv_sched_t *sched, uint32_t count)
{
    fv_worker_entry_t entry = {.service = "s",
                               .address = "127.0.0.1:1",
                               .cpu_millis = 32000,
                               .memory_mib = 1 << 20,
                               .started_wall_ms = 1};

    for (uint32_t i = 0; i < count; i++) {
        snprintf(entry.id, sizeof(entry.id), "w%" PRIu32, i);
        if (FvSched_UpdateWorker(sched, &entry, NOW_MS) == NULL) {
            abort();
        }
    }
}

static void
add_jobs(fv_sched_t *sched)
{
    const fv_cell_queue_t queue = {.name = "q",
                                   .service = "s",
                                   .attempts_max = 2,
                                   .stretch = 2.0,
                                   .objective_ms = 1000};
    fv_job_spec_t spec;
    char document[160];
    char id[Fv_JOB_ID_SIZE];

    snprintf(document, sizeof(document), job_format, TASKS_EACH);
    for (uint32_t j = 0; j < JOBS; j++) {
        fv_sched_job_t *job = NULL;

        snprintf(id, sizeof(id), "%016" PRIx32, j + 1);
        if (FvPlatform_DecodeJobSpec(document, strlen(document), &spec)) {
            job = FvSched_AddJob(sched, id, &queue, &spec, document,
                                 strlen(document), NOW_MS, NOW_MS);
        }
        if (job == NULL) {
            abort();
        }
        FvSched_MarkJobDurable(sched, job);
        FvSched_ReleaseStages(sched, job, NOW_MS, NOW_MS);
    }
}

static void
measure(uint32_t workers, FILE *csv)
{
    static const fv_sched_ops_t ops = {.decode = FvPlatform_DecodeJobSpec};
    static fv_sched_t sched;
    int64_t began_ns;
    double us_each;

    FvSched_Init(&sched, &ops,
                 &(fv_sched_timeouts_t){.lease_ms = 4500,
                                        .lease_max_ms = 10000,
                                        .stop_max_ms = 900,
                                        .gang_refill_ms = 2000});
    add_workers(&sched, workers);
    add_jobs(&sched);
    began_ns = FvClock_NowNs();
    while (sched.workers != NULL) {
        FvSched_FreeWorker(&sched, sched.workers);
    }
    us_each =
        (double)(FvClock_NowNs() - began_ns) / NS_PER_US / (double)workers;
    printf("forget %" PRIu32 " workers beside %d jobs of %d tasks: %.1f us "
           "each\n",
           workers, JOBS, TASKS_EACH, us_each);
    if (csv != NULL) {
        fprintf(csv, "forget,workers=%" PRIu32 ",%.1f,us\n", workers, us_each);
    }
    FvSched_Clear(&sched);
}

int
main(int argc, char **argv)
{
    struct arg_file *path =
        arg_file0(NULL, "csv", "FILE", "where to write the figures");
    struct arg_end *end = arg_end(4);
    void *table[] = {path, end};
    FILE *csv = NULL;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    if (path->count > 0) {
        csv = fopen(path->filename[0], "w");
        if (csv == NULL) {
            perror(path->filename[0]);
            return 1;
        }
        fprintf(csv, "bench,parameter,value,unit\n");
    }
    measure(1000, csv);
    measure(5000, csv);
    if (csv != NULL) {
        fclose(csv);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
