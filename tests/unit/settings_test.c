/*
 * The settings file: an invalid file is rejected, and all its errors are
 * reported to the operator at once.
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

/* Writes a settings file with the required sections, other top-level keys, the
 * name of the cluster key file, and further sections. */
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

/* Loads the settings file and returns the reported errors; the caller frees
 * them. */
static char *
load_settings(fv_settings_t *settings, bool expect_valid)
{
    char path[Fv_URL_SIZE];
    char *errors = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&errors, &size);

    snprintf(path, sizeof(path), "%s/settings.toml", test_directory);
    CU_ASSERT_EQUAL(FvSettings_Load(path, settings, out), expect_valid);
    fclose(out);
    return errors;
}

static void
expect_error(const char *errors, const char *text)
{
    bool found = strstr(errors, text) != NULL;

    CU_ASSERT_TRUE(found);
    if (!found) {
        printf("\n  missing: %s\n  in: %s", text, errors);
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
    char *errors;

    write_secret_files();
    write_settings("", "key", "[store]\nurl = \"http://127.0.0.1:4\"\n");
    errors = load_settings(&settings, true);
    CU_ASSERT_STRING_EQUAL(errors, "");
    CU_ASSERT_EQUAL(settings.lease_ttl_ms, 3000);
    CU_ASSERT_EQUAL(settings.lease_renew_ms, 1000);
    CU_ASSERT_EQUAL(settings.http_threads, 64);
    CU_ASSERT_EQUAL(settings.queue_limit, 4096);
    CU_ASSERT_EQUAL(settings.drain_timeout_ms, 30000);
    CU_ASSERT_EQUAL(settings.log_level, Fv_LOG_INFO);
    CU_ASSERT_STRING_EQUAL(settings.store_prefix, "/fireflyvalve");
    CU_ASSERT_STRING_EQUAL(settings.http_address, "127.0.0.1:1");
    free(errors);
}

static void
test_all_errors_are_reported(void)
{
    fv_settings_t settings;
    char *errors;

    write_secret_files();
    write_settings("typo = 1\n", "absent",
                   "[store]\nurl = \"https://store\"\nprefix = 7\n"
                   "timeout_ms = 1\n[lease]\nttl_ms = 3000\nrenew_ms = 1001\n"
                   "[limits]\nhttp_thread = 8\n[log]\nlevel = \"loud\"\n");
    errors = load_settings(&settings, false);
    expect_error(errors, "settings.toml: typo: unknown key; allowed: cluster");
    expect_error(errors, "store.url: invalid value \"https://store\"");
    expect_error(errors, "store.prefix: wrong type");
    expect_error(errors, "store.timeout_ms: out of range: 1; allowed: integer "
                         "from 50 to 60000");
    expect_error(errors, "lease.renew_ms: out of range: 1001; allowed: at "
                         "most a third of lease.ttl_ms (1000)");
    expect_error(errors, "limits.http_thread: unknown key; allowed: "
                         "http_threads");
    expect_error(errors, "log.level: invalid value \"loud\"; allowed: error");
    expect_error(errors, "secrets.cluster_key_file:");
    CU_ASSERT_EQUAL(count_lines(errors), 8);
    free(errors);
}

static void
test_missing_value_is_reported(void)
{
    fv_settings_t settings;
    char *errors;

    write_secret_files();
    write_settings("", "key", "");
    errors = load_settings(&settings, false);
    expect_error(errors, "store.url: missing; allowed: \"http://IP:PORT");
    CU_ASSERT_EQUAL(count_lines(errors), 1);
    free(errors);
}

static void
test_syntax_error_has_line_number(void)
{
    fv_settings_t settings;
    char *errors;

    write_file("settings.toml", "cluster = \"c\"\ncluster = \"d\"\n", 0644);
    errors = load_settings(&settings, false);
    expect_error(errors, "settings.toml: line 2");
    free(errors);
    write_file("settings.toml", "cluster = \n", 0644);
    errors = load_settings(&settings, false);
    expect_error(errors, "settings.toml: line 1");
    free(errors);
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
        char *errors;

        snprintf(text, sizeof(text), "[listen]\nhttp = \"%s\"\n",
                 addresses[i]);
        write_file("settings.toml", text, 0644);
        errors = load_settings(&settings, false);
        expect_error(errors, "listen.http: invalid value");
        free(errors);
    }
}

static void
test_secret_files_are_checked(void)
{
    static const char store[] = "[store]\nurl = \"http://127.0.0.1:4\"\n";
    fv_settings_t settings;
    char *errors;

    write_secret_files();
    write_file("short", "0123456789abcdef", 0600);
    write_settings("", "short", store);
    errors = load_settings(&settings, false);
    expect_error(errors, "allowed: exactly 64 hex digits");
    /* The message must not contain the secret. */
    CU_ASSERT_PTR_NULL(strstr(errors, "0123456789abcdef"));
    free(errors);

    write_file("open",
               "0123456789abcdef0123456789abcdef"
               "0123456789abcdef0123456789abcdef",
               0644);
    write_settings("", "open", store);
    errors = load_settings(&settings, false);
    expect_error(errors, "has mode 644; allowed: 600");
    free(errors);

    write_file("tokens", "[tokens]\nm = \"short\"\n", 0600);
    write_settings("", "key", store);
    errors = load_settings(&settings, false);
    expect_error(errors, "secrets.tokens_file:");
    free(errors);
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
        {"a valid file is rejected or a default is wrong", test_defaults},
        {"an error hides another error", test_all_errors_are_reported},
        {"a missing value is not reported", test_missing_value_is_reported},
        {"a syntax error is reported without its line number",
         test_syntax_error_has_line_number},
        {"an invalid address is accepted",
         test_invalid_addresses_are_rejected},
        {"a malformed or insecure secret file is accepted, or shown",
         test_secret_files_are_checked},
        {"the cluster key is decoded wrongly", test_cluster_key_is_decoded},
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
