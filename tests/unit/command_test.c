/*
 * Commands: the exit codes that scripts rely on, and printed replies, whose
 * control characters must not reach the terminal.
 */

#include "command.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

static void
expect_exit_code(const char *state, const char *outcome, int code)
{
    json_t *job = json_pack("{s:s, s:s}", "state", state, "outcome", outcome);

    CU_ASSERT_EQUAL(FvJobResult_ExitCode(job), code);
    json_decref(job);
}

static void
test_exit_codes(void)
{
    expect_exit_code("ended", "done", 0);
    expect_exit_code("ended", "failed", 1);
    expect_exit_code("ended", "not_run", 3);
    expect_exit_code("ended", "unknown", 4);
    expect_exit_code("ended", "cancelled", 5);
    expect_exit_code("running", "", 8);
    expect_exit_code("queued", "", 8);
    expect_exit_code("ended", "something new", 4);
    CU_ASSERT_EQUAL(FvJobResult_ExitCode(NULL), 8);
}

static char *
print_document(const char *text)
{
    json_t *document = json_loads(text, 0, NULL);
    char *printed = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&printed, &size);

    FvPrint_Document(out, document);
    fclose(out);
    json_decref(document);
    return printed;
}

static void
test_control_characters_are_replaced(void)
{
    char *printed =
        print_document("{\"reason\": \"a\\u001b[2Jb\", \"list\": [{"
                       "\"name\": \"x\\r\\ny\"}]}");

    CU_ASSERT_PTR_NULL(strchr(printed, '\x1b'));
    CU_ASSERT_PTR_NULL(strchr(printed, '\r'));
    CU_ASSERT_PTR_NOT_NULL(strstr(printed, "a?[2Jb"));
    CU_ASSERT_PTR_NOT_NULL(strstr(printed, "x??y"));
    free(printed);
}

static void
test_nested_values_are_printed(void)
{
    char *printed =
        print_document("{\"contracts\": [{\"member\": \"m\", \"quota\": "
                       "{\"slots\": 4}, \"workloads\": [{\"name\": "
                       "\"lookup\", \"size\": {\"cpu_millis\": 500}}]}]}");

    CU_ASSERT_PTR_NOT_NULL(strstr(printed, "quota.slots"));
    CU_ASSERT_PTR_NOT_NULL(strstr(printed, "contracts m: workloads\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(printed, "lookup  500"));
    free(printed);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an outcome maps to the wrong exit code", test_exit_codes},
        {"control characters of a reply reach the terminal",
         test_control_characters_are_replaced},
        {"nested values of a reply are not printed",
         test_nested_values_are_printed},
    };

    return Fv_RUN_SUITE("command", cases);
}
