/*
 * Guards against a host that runs out of memory because callers send requests
 * ahead at a path that no route has and leave the answers unread.
 */

#include "crowd.h"
#include "suite.h"

#define CLIENTS 24
#define MEMORY_MB 32
#define DESCRIPTORS_MAX 256
#define DESCRIPTORS_RESERVED 200 /* for files, as on the users' platform */
#define CLIENT_BYTES ((int64_t)(MEMORY_MB + 1) * 1024 * 1024)
#define SENDING_MS 60000
#define READY_MS 15000

static const char request[] = "GET /absent/0000000000000001 HTTP/1.1\r\n"
                              "Host: 127.0.0.1\r\n\r\n";

static void
test_unread_answers(void)
{
    static const entry_cell_options_t options = {
        .name = "entry-unread-unrouted",
        .hosts = 1,
        .workers = 1,
        .memory_mb = MEMORY_MB,
        .descriptors_max = DESCRIPTORS_MAX};
    static const crowd_script_t script = {.repeat = request,
                                          .bytes_max = CLIENT_BYTES,
                                          .duration_ms = SENDING_MS};
    static entry_cell_t cell;
    static crowd_t crowd;
    int status;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(&cell, &options) &&
                         FvEntryCell_WaitReady(&cell, READY_MS));
    FvCrowd_Watch(&crowd, &cell, 0);
    CU_ASSERT_EQUAL(FvCrowd_Call(&crowd, ENTRY_PORT_CALLERS, "/fast/"), 200);
    CU_ASSERT_EQUAL(FvCrowd_Call(&crowd, ENTRY_PORT_CALLERS, "/absent/"), 404);
    CU_ASSERT_TRUE(FvCrowd_Connect(
        &crowd, FvEntryCell_Port(&cell, 0, ENTRY_PORT_CALLERS), CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    status = FvCrowd_Call(&crowd, ENTRY_PORT_CALLERS, "/fast/");
    FvCrowd_Measure(&crowd);
    FvCrowd_Print(&crowd);
    CU_ASSERT_TRUE(crowd.peak.alive);
    CU_ASSERT(crowd.peak.memory_kib <= MEMORY_MB * 1024);
    CU_ASSERT(crowd.peak.descriptors <=
              DESCRIPTORS_MAX - DESCRIPTORS_RESERVED);
    CU_ASSERT_EQUAL(status, 200);
    FvCrowd_Close(&crowd);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"unread answers at a path without a route take all memory",
         test_unread_answers},
    };

    return Fv_RUN_SUITE("entry_unread_unrouted", cases);
}
