/*
 * Nothing may start on a mistaken settings file, and the operator must learn
 * of every mistake at once.
 */

#include "fireflyvalve.h"
#include "suite.h"
#include "temp-path.h"

#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static char test_directory[TEMP_PATH_SIZE];

static void
write_file(const char *name, const char *text, mode_t mode)
{
    char path[Fv_URL_SIZE];
    FILE *file;

    snprintf(path, sizeof(path), "%s/%s", test_directory, name);
    unlink(path);
    file = fopen(path, "w");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    fputs(text, file);
    fclose(file);
    chmod(path, mode);
}

static void
write_secret_files(void)
{
    write_file("key",
               "0123456789abcdef0123456789abcdef"
               "0123456789ABCDEF0123456789ABCDEF\n",
               0600);
    write_file("tokens", "[tokens]\nm = \"0123456789abcdef\"\n", 0600);
}

/* Writes a settings file with the given sections after the required ones. */
static void
write_settings(const char *top_level, const char *key_file,
               const char *sections)
{
    char text[4096];

    snprintf(text, sizeof(text),
             "cluster = \"cell\"\n%s[host]\nname = \"h\"\nregion = \"r\"\n"
             "data_center = \"d\"\n[listen]\nhttp = \"127.0.0.1:1\"\n"
             "link = \"127.0.0.1:2\"\n[platform]\nhost_list_url = "
             "\"http://127.0.0.1:3/hosts\"\n[secrets]\n"
             "cluster_key_file = \"%s/%s\"\ntokens_file = \"%s/tokens\"\n%s",
             top_level, test_directory, key_file, test_directory, sections);
    write_file("settings.toml", text, 0644);
}

/* Loads the file and returns the faults as text; the caller frees it. */
static char *
load_settings(fv_settings_t *settings, bool expect_valid)
{
    char path[Fv_URL_SIZE];
    char *faults = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&faults, &size);

    snprintf(path, sizeof(path), "%s/settings.toml", test_directory);
    CU_ASSERT_EQUAL(FvSettings_Load(path, settings, out), expect_valid);
    fclose(out);
    return faults;
}

static void
expect_fault(const char *faults, const char *text)
{
    bool found = strstr(faults, text) != NULL;

    CU_ASSERT_TRUE(found);
    if (!found) {
        printf("\n  missing: %s\n  in: %s", text, faults);
    }
}

static int
count_lines(const char *text)
{
    int lines = 0;

    for (; *text != '\0'; text++) {
        lines += *text == '\n';
    }
    return lines;
}

static void
test_defaults(void)
{
    fv_settings_t settings;
    char *faults;

    write_secret_files();
    write_settings("", "key", "[store]\nurl = \"http://127.0.0.1:4\"\n");
    faults = load_settings(&settings, true);
    CU_ASSERT_STRING_EQUAL(faults, "");
    CU_ASSERT_EQUAL(settings.lease_ttl_ms, 3000);
    CU_ASSERT_EQUAL(settings.lease_renew_ms, 1000);
    CU_ASSERT_EQUAL(settings.http_threads, 64);
    CU_ASSERT_EQUAL(settings.queue_limit, 4096);
    CU_ASSERT_EQUAL(settings.drain_timeout_ms, 30000);
    CU_ASSERT_EQUAL(settings.log_level, Fv_LOG_INFO);
    CU_ASSERT_STRING_EQUAL(settings.store_prefix, "/fireflyvalve");
    CU_ASSERT_STRING_EQUAL(settings.http_address, "127.0.0.1:1");
    free(faults);
}

static void
test_all_faults_are_reported(void)
{
    fv_settings_t settings;
    char *faults;

    write_secret_files();
    write_settings("typo = 1\n", "absent",
                   "[store]\nurl = \"https://store\"\nprefix = 7\n"
                   "timeout_ms = 1\n[lease]\nttl_ms = 3000\nrenew_ms = 1001\n"
                   "[limits]\nhttp_thread = 8\n[log]\nlevel = \"loud\"\n");
    faults = load_settings(&settings, false);
    expect_fault(faults, "settings.toml: typo: unknown key; allowed: cluster");
    expect_fault(faults, "store.url: invalid value \"https://store\"");
    expect_fault(faults, "store.prefix: wrong type");
    expect_fault(faults, "store.timeout_ms: out of range: 1; allowed: integer "
                         "from 50 to 60000");
    expect_fault(faults, "lease.renew_ms: out of range: 1001; allowed: at "
                         "most a third of lease.ttl_ms (1000)");
    expect_fault(faults, "limits.http_thread: unknown key; allowed: "
                         "http_threads");
    expect_fault(faults, "log.level: invalid value \"loud\"; allowed: error");
    expect_fault(faults, "secrets.cluster_key_file:");
    CU_ASSERT_EQUAL(count_lines(faults), 8);
    free(faults);
}

static void
test_missing_value_is_reported(void)
{
    fv_settings_t settings;
    char *faults;

    write_secret_files();
    write_settings("", "key", "");
    faults = load_settings(&settings, false);
    expect_fault(faults, "store.url: missing; allowed: \"http://IP:PORT");
    CU_ASSERT_EQUAL(count_lines(faults), 1);
    free(faults);
}

static void
test_syntax_error_has_line_number(void)
{
    fv_settings_t settings;
    char *faults;

    write_file("settings.toml", "cluster = \"c\"\ncluster = \"d\"\n", 0644);
    faults = load_settings(&settings, false);
    expect_fault(faults, "settings.toml: line 2");
    free(faults);
    write_file("settings.toml", "cluster = \n", 0644);
    faults = load_settings(&settings, false);
    expect_fault(faults, "settings.toml: line 1");
    free(faults);
}

static void
test_invalid_addresses_are_rejected(void)
{
    static const char *const addresses[] = {
        "127.0.0.1",   "127.0.0.1:",      "127.0.0.1:0", "127.0.0.1:65536",
        "localhost:1", "127.0.0.1:1 ",    "256.0.0.1:1", ":1",
        "127.0.0.1:a", "127.0.0.1:00001x"};

    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        fv_settings_t settings;
        char text[256];
        char *faults;

        snprintf(text, sizeof(text), "[listen]\nhttp = \"%s\"\n",
                 addresses[i]);
        write_file("settings.toml", text, 0644);
        faults = load_settings(&settings, false);
        expect_fault(faults, "listen.http: invalid value");
        free(faults);
    }
}

static void
test_secret_files_are_checked(void)
{
    static const char store[] = "[store]\nurl = \"http://127.0.0.1:4\"\n";
    fv_settings_t settings;
    char *faults;

    write_secret_files();
    write_file("short", "0123456789abcdef", 0600);
    write_settings("", "short", store);
    faults = load_settings(&settings, false);
    expect_fault(faults, "allowed: exactly 64 hex digits");
    /* The message must not show the secret. */
    CU_ASSERT_PTR_NULL(strstr(faults, "0123456789abcdef"));
    free(faults);

    write_file("open",
               "0123456789abcdef0123456789abcdef"
               "0123456789abcdef0123456789abcdef",
               0644);
    write_settings("", "open", store);
    faults = load_settings(&settings, false);
    expect_fault(faults, "has mode 644; allowed: 600");
    free(faults);

    write_file("tokens", "[tokens]\nm = \"short\"\n", 0600);
    write_settings("", "key", store);
    faults = load_settings(&settings, false);
    expect_fault(faults, "secrets.tokens_file:");
    free(faults);
}

static void
test_cluster_key_is_decoded(void)
{
    char path[Fv_URL_SIZE];
    char reason[Fv_REASON_SIZE] = "";
    uint8_t key[32];

    write_secret_files();
    snprintf(path, sizeof(path), "%s/key", test_directory);
    CU_ASSERT_TRUE(FvSettings_ReadClusterKey(path, key, reason));
    CU_ASSERT_EQUAL(key[0], 0x01);
    CU_ASSERT_EQUAL(key[7], 0xef);
    CU_ASSERT_EQUAL(key[31], 0xef);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a correct file is refused or a default is wrong", test_defaults},
        {"a fault hides another one", test_all_faults_are_reported},
        {"a missing value is not noticed", test_missing_value_is_reported},
        {"a syntax error has no line number",
         test_syntax_error_has_line_number},
        {"an invalid address is accepted",
         test_invalid_addresses_are_rejected},
        {"a secret is exposed or malformed", test_secret_files_are_checked},
        {"the cluster key is read wrongly", test_cluster_key_is_decoded},
    };
    int code;

    FvTempPath_Template(test_directory, sizeof(test_directory), "settings");
    if (mkdtemp(test_directory) == NULL) {
        return 2;
    }
    code = Fv_RUN_SUITE("settings", cases);
    for (size_t i = 0; i < 5; i++) {
        static const char *const names[] = {"key", "tokens", "short", "open",
                                            "settings.toml"};
        char path[Fv_URL_SIZE];

        snprintf(path, sizeof(path), "%s/%s", test_directory, names[i]);
        unlink(path);
    }
    rmdir(test_directory);
    return code;
}
