/*
 * The settings file of an entry host: all of its errors are reported together.
 */

#include "entry.h"
#include "suite.h"
#include "temp-path.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char valid_file[] =
    "host = \"h\"\ndata_center = \"a\"\nregion = \"r\"\n"
    "address = \"127.0.0.1\"\ncallers_address = \"127.0.0.1:1\"\n"
    "ready_address = \"127.0.0.1:2\"\nlink_port = 3\ncpu_cores = 0.25\n"
    "store_address = \"127.0.0.1:4\"\nstore_lease_min_ms = 1000\n"
    "descriptors_max = 4100\nlease_max_ms = 10000\nstop_timeout_ms = "
    "900\ngang_timeout_ms = 3000\n"
    "drain_ms = 6000\nkeep_ended_s = 120\nnew_field = 1\n";

static bool
load(const char *text, fv_entry_settings_t *settings, char *faults,
     size_t size)
{
    char path[TEMP_PATH_SIZE];
    FILE *out = tmpfile();
    bool valid;
    int fd;

    FvTempPath_Template(path, sizeof(path), "settings");
    fd = mkstemp(path);
    CU_ASSERT_FATAL(fd >= 0 && out != NULL);
    CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
    valid = FvEntrySettings_Load(path, settings, out);
    unlink(path);
    rewind(out);
    faults[fread(faults, 1, size - 1, out)] = '\0';
    fclose(out);
    return valid;
}

/* Overwrites @before with @after, which has the same length. */
static void
replace(char *text, const char *before, const char *after)
{
    char *at = strstr(text, before);

    CU_ASSERT_PTR_NOT_NULL_FATAL(at);
    for (size_t i = 0; at != NULL && after[i] != '\0'; i++) {
        at[i] = after[i];
    }
}

static void
test_unknown_field(void)
{
    fv_entry_settings_t settings;
    char faults[1024];

    CU_ASSERT_TRUE(load(valid_file, &settings, faults, sizeof(faults)));
    CU_ASSERT_STRING_EQUAL(faults, "");
    CU_ASSERT_EQUAL(settings.link_port, 3);
    CU_ASSERT_DOUBLE_EQUAL(settings.cpu_cores, 0.25, 0.001);
    CU_ASSERT_EQUAL(settings.memory_mb, 128); /* by default */
    CU_ASSERT_STRING_EQUAL(settings.advice_address, "");
}

static void
test_boolean(void)
{
    fv_entry_settings_t settings;
    char faults[1024];
    char text[1024];

    CU_ASSERT_TRUE(load(valid_file, &settings, faults, sizeof(faults)));
    CU_ASSERT_TRUE(settings.learn_worker_speeds); /* by default */
    snprintf(text, sizeof(text), "%slearn_worker_speeds = false\n",
             valid_file);
    CU_ASSERT_TRUE(load(text, &settings, faults, sizeof(faults)));
    CU_ASSERT_FALSE(settings.learn_worker_speeds);
    snprintf(text, sizeof(text), "%slearn_worker_speeds = 0\n", valid_file);
    CU_ASSERT_FALSE(load(text, &settings, faults, sizeof(faults)));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(faults, "learn_worker_speeds: needs true or false"));
}

static void
test_all_faults(void)
{
    fv_entry_settings_t settings;
    char faults[1024];
    char *text = strdup(valid_file);

    replace(text, "link_port = 3", "link_port = 0");
    replace(text, "drain_ms = 6000", "drain_ms = \"60\"");
    replace(text, "region", "regiom");
    CU_ASSERT_FALSE(load(text, &settings, faults, sizeof(faults)));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "link_port: needs a number"));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "drain_ms: needs a number"));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "region: needs a text"));
    free(text);
}

static void
test_invalid_address(void)
{
    fv_entry_settings_t settings;
    char faults[1024];
    char *text = strdup(valid_file);

    replace(text, "127.0.0.1:4", "127.0.0.1 4");
    CU_ASSERT_FALSE(load(text, &settings, faults, sizeof(faults)));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "is not an IPv4 address"));
    free(text);
}

/* The template of a new deployment has several errors. */
static void
test_invalid_address_with_other_faults(void)
{
    fv_entry_settings_t settings;
    char faults[1024];
    char text[1024];

    snprintf(text, sizeof(text), "%sadvice_address = \"advice\"\n",
             valid_file);
    replace(text, "link_port = 3", "link_port = 0");
    replace(text, "127.0.0.1:2", "127.0.0.1.2");
    CU_ASSERT_FALSE(load(text, &settings, faults, sizeof(faults)));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "link_port: needs a number"));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "ready_address: "));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "advice_address: "));
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a valid file with an unknown field is rejected", test_unknown_field},
        {"a number is taken for a boolean, or a boolean is ignored",
         test_boolean},
        {"only the first error of a file is reported", test_all_faults},
        {"a host starts with an invalid address", test_invalid_address},
        {"an invalid address is reported only if there is no other error",
         test_invalid_address_with_other_faults},
    };

    return Fv_RUN_SUITE("entry_settings", cases);
}
