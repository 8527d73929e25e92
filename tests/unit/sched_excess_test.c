/*
 * Jobs that a customer submits beyond its rate.
 */

#include "sched-fixture.h"

#include <string.h>

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define CUSTOMER "ferry-line"

#define CLAIM_MS 3000 /* for which waiting excess claims free capacity */

static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":1000}]}";
static const char gang_of_two[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":1000,\"gang\":true}]}";

static sched_fixture_t fixture;
static fv_cell_queue_t queue;

static void
set_customer(double weight, int64_t cap_cpu_millis)
{
    fv_cell_customer_t customer = {.name = CUSTOMER,
                                   .weight = weight,
                                   .job_rate = weight,
                                   .cpu_millis_max = cap_cpu_millis};

    FvSched_SetCustomers(&fixture.sched,
                         &(fv_cell_config_t){.has_customers = true,
                                             .customer_count = 1,
                                             .customers = &customer});
}

/* Opens a cell with a worker of the given size. */
static void
open_cell(int64_t cpu_millis, double weight)
{
    queue = FvSchedFixture_MakeQueue("q", 1);
    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", cpu_millis);
    fixture.customer = CUSTOMER;
    set_customer(weight, 0);
}

static fv_sched_customer_t *
customer(void)
{
    return FvSched_FindCustomer(&fixture.sched, CUSTOMER);
}

/* Counts jobs that are submitted now until one is excess. */
static int32_t
submit_until_excess(void)
{
    fv_sched_job_t job = {.account = customer()};
    int32_t count = 0;

    while (!job.excess && count < 100) {
        bool over_rate = FvSched_IsOverRate(customer(), fixture.now_ms);

        FvSched_CountAcceptedJob(&job, fixture.now_ms);
        CU_ASSERT_EQUAL(job.excess, over_rate);
        count += job.excess ? 0 : 1;
    }
    return count;
}

static fv_sched_job_t *
add_excess(const char *id, const char *document)
{
    fv_sched_job_t *job =
        FvSchedFixture_AddJob(&fixture, id, &queue, document);

    job->excess = true;
    return job;
}

static bool
has_room(const char *document)
{
    fv_job_spec_t spec;
    bool room;

    CU_ASSERT_TRUE_FATAL(
        FvPlatform_DecodeJobSpec(document, strlen(document), &spec));
    room = FvSched_HasRoomForExcess(&fixture.sched, customer(), &queue, &spec,
                                    fixture.now_ms);
    FvJobSpec_Clear(&spec);
    return room;
}

/* The bucket starts full, holds one second's worth, and fills at the rate. */
static void
test_rate(void)
{
    open_cell(2000, 5);
    CU_ASSERT_EQUAL(submit_until_excess(), 5);
    fixture.now_ms += 400;
    CU_ASSERT_EQUAL(submit_until_excess(), 2);
    fixture.now_ms += 60000;
    CU_ASSERT_EQUAL(submit_until_excess(), 5);
    fixture.now_ms -= 100; /* a clock that is behind fills nothing */
    CU_ASSERT_EQUAL(submit_until_excess(), 0);
    FvSchedFixture_Close(&fixture);
}

/* A weight below 1 would make every job excess if the bucket held less than
 * one. */
static void
test_rate_below_one(void)
{
    open_cell(2000, 0.25);
    CU_ASSERT_EQUAL(submit_until_excess(), 1);
    fixture.now_ms += 3990;
    CU_ASSERT_EQUAL(submit_until_excess(), 0);
    fixture.now_ms += 20;
    CU_ASSERT_EQUAL(submit_until_excess(), 1);
    FvSchedFixture_Close(&fixture);
}

/* Nobody knows the rate of a customer that is not configured or has no weight,
 * and jobs of no customer have none. */
static void
test_unknown_rate(void)
{
    fv_sched_job_t job = {0};

    open_cell(2000, 1);
    FvSched_CountAcceptedJob(&job, fixture.now_ms);
    CU_ASSERT_FALSE(job.excess);
    CU_ASSERT_FALSE(FvSched_IsOverRate(NULL, fixture.now_ms));
    CU_ASSERT_EQUAL(submit_until_excess(), 1);
    customer()->configured = false;
    job.account = customer();
    FvSched_CountAcceptedJob(&job, fixture.now_ms);
    CU_ASSERT_FALSE(job.excess);
    CU_ASSERT_FALSE(FvSched_IsOverRate(customer(), fixture.now_ms));
    set_customer(1, 0);
    customer()->job_rate = 0;
    CU_ASSERT_FALSE(FvSched_IsOverRate(customer(), fixture.now_ms));
    FvSchedFixture_Close(&fixture);
}

/* Jobs that an outage of the store refused come again together, and were no
 * excess when they came first. */
static void
test_jobs_refused_for_an_outage(void)
{
    fv_sched_job_t job = {0};

    open_cell(2000, 5);
    CU_ASSERT_EQUAL(submit_until_excess(), 5);
    for (int i = 0; i < 20; i++) { /* four jobs a second for 5 s */
        fixture.now_ms += 250;
        FvSched_CountRefusedJob(customer(), fixture.now_ms);
    }
    CU_ASSERT_EQUAL(submit_until_excess(), 25);
    for (int i = 0; i < 200; i++) { /* no outage is that long */
        fixture.now_ms += 250;
        FvSched_CountRefusedJob(customer(), fixture.now_ms);
    }
    CU_ASSERT_EQUAL(submit_until_excess(), 40);
    fixture.now_ms += 60000;
    FvSched_CountRefusedJob(customer(), fixture.now_ms);
    CU_ASSERT_EQUAL(submit_until_excess(), 5);
    job.account = customer();
    FvSched_CountWithdrawnJob(&job);
    CU_ASSERT_EQUAL(submit_until_excess(), 1);
    job.excess = true;
    FvSched_CountWithdrawnJob(&job);
    FvSched_CountRefusedJob(NULL, fixture.now_ms);
    CU_ASSERT_EQUAL(submit_until_excess(), 0);
    FvSchedFixture_Close(&fixture);
}

/* A flood would take the capacity from the jobs within the rate, of its
 * customer and of others, and of less urgent queues. */
static void
test_excess_starts_last(void)
{
    open_cell(2000, 1);
    add_excess(JOB_A, one_task);
    fixture.now_ms += 100;
    queue.priority = 7;
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 1);
    FvSchedFixture_Close(&fixture);
}

/* An excess gang may not keep workers from others. */
static void
test_excess_gang_reserves_nothing(void)
{
    open_cell(4000, 1);
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    add_excess(JOB_A, gang_of_two);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    CU_ASSERT_EQUAL(fixture.sched.reserved_workers, 0);
    FvSchedFixture_Close(&fixture);
}

/* A job that could start now may not be refused. */
static void
test_room(void)
{
    open_cell(4000, 1);
    CU_ASSERT_TRUE(has_room(one_task));
    CU_ASSERT_TRUE(has_room(gang_of_two));
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_TRUE(has_room(one_task));
    CU_ASSERT_FALSE(has_room(gang_of_two));
    queue.service[0] = 'x';
    CU_ASSERT_FALSE(has_room(one_task));
    FvSchedFixture_Close(&fixture);
}

static void
test_no_room_under_the_cap(void)
{
    open_cell(8000, 1);
    set_customer(1, 3000);
    CU_ASSERT_TRUE(has_room(one_task));
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_FALSE(has_room(one_task));
    FvSchedFixture_Close(&fixture);
}

/* Excess that was accepted and has not started takes what is free. A flood
 * would be accepted without bound between two passes, or while the advice
 * service is asked. */
static void
test_waiting_excess_claims_room(void)
{
    open_cell(4000, 1);
    queue = FvSchedFixture_MakeAdvisedQueue("q", 1);
    add_excess(JOB_A, one_task);
    CU_ASSERT_TRUE(has_room(one_task));
    add_excess(JOB_B, one_task);
    CU_ASSERT_FALSE(has_room(one_task));
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_FALSE(has_room(one_task));
    FvSchedFixture_Close(&fixture);
}

/* Excess that no worker can run claims free capacity for a limited time. */
static void
test_claims_end(void)
{
    open_cell(2000, 1);
    queue.service[0] = 'x';
    add_excess(JOB_A, one_task);
    queue.service[0] = 's';
    FvSchedFixture_RunPass(&fixture);
    fixture.now_ms += CLAIM_MS - 1;
    CU_ASSERT_FALSE(has_room(one_task));
    fixture.now_ms++;
    CU_ASSERT_TRUE(has_room(one_task));
    FvSchedFixture_Close(&fixture);
}

/* A new leader would start the whole backlog of a flood before other jobs. */
static void
test_record_keeps_excess(void)
{
    fv_buffer_t record = {0};
    fv_sched_job_t *job;

    open_cell(2000, 1);
    job = add_excess(JOB_A, one_task);
    CU_ASSERT_TRUE(FvSchedRecord_EncodeJob(job, &record));
    FvSched_RemoveJob(&fixture.sched, job);
    job = FvSchedRecord_LoadJob(&fixture.sched, JOB_A, &record, fixture.now_ms,
                                fixture.now_ms);
    CU_ASSERT_TRUE(job != NULL && job->excess &&
                   strcmp(job->customer, CUSTOMER) == 0);
    FvBuffer_Clear(&record);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a customer's rate is not kept", test_rate},
        {"every job is excess at a rate below one a second",
         test_rate_below_one},
        {"jobs without a known rate are excess", test_unknown_rate},
        {"jobs that an outage refused count as excess when they come again",
         test_jobs_refused_for_an_outage},
        {"excess starts before other jobs", test_excess_starts_last},
        {"an excess gang reserves workers", test_excess_gang_reserves_nothing},
        {"room for a job is not seen, or none is there", test_room},
        {"excess is accepted above its customer's cap",
         test_no_room_under_the_cap},
        {"a flood is accepted before it can start",
         test_waiting_excess_claims_room},
        {"excess that can't run refuses all other excess", test_claims_end},
        {"a new leader takes excess for ordinary jobs",
         test_record_keeps_excess},
    };

    return Fv_RUN_SUITE("sched_excess", cases);
}
