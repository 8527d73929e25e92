/*
 * Settings of one entry host. A static table lists each setting with its type,
 * range and default; parsing, validation and the printed documentation use it.
 */

#include "fireflyvalve.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define Fv_SETTING_NAME_SIZE 64
#define Fv_KEY_FILE_HEX_DIGITS 64
#define Fv_PORT_MAX 65535

typedef enum fv_setting_type {
    Fv_SETTING_NAME,
    Fv_SETTING_ADDRESS,
    Fv_SETTING_URL,
    Fv_SETTING_PREFIX,
    Fv_SETTING_KEY_FILE,
    Fv_SETTING_TOKENS_FILE,
    Fv_SETTING_LEVEL,
    Fv_SETTING_INT
} fv_setting_type_t;

typedef struct fv_setting {
    const char *section; /* NULL for top-level keys */
    const char *key;
    fv_setting_type_t type;
    size_t offset;
    size_t size;
    int32_t min;
    int32_t max;
    const char *default_value; /* NULL: required */
    const char *help;
} fv_setting_t;

#define Fv_TEXT_SETTING(SECTION, KEY, TYPE, FIELD, DEFAULT, HELP)             \
    {                                                                         \
        SECTION, KEY, TYPE, offsetof(fv_settings_t, FIELD),                   \
            sizeof(((fv_settings_t *)0)->FIELD), 0, 0, DEFAULT, HELP          \
    }
#define Fv_INT_SETTING(SECTION, KEY, FIELD, MIN, MAX, DEFAULT, HELP)          \
    {                                                                         \
        SECTION, KEY, Fv_SETTING_INT, offsetof(fv_settings_t, FIELD),         \
            sizeof(int32_t), MIN, MAX, DEFAULT, HELP                          \
    }

static const fv_setting_t settings_table[] = {
    Fv_TEXT_SETTING(NULL, "cluster", Fv_SETTING_NAME, cluster, NULL,
                    "name of the cell; hosts of another one are refused"),
    Fv_TEXT_SETTING("host", "name", Fv_SETTING_NAME, host, NULL,
                    "name of this host in the platform's host list"),
    Fv_TEXT_SETTING("host", "region", Fv_SETTING_NAME, region, NULL,
                    "region of this host"),
    Fv_TEXT_SETTING("host", "data_center", Fv_SETTING_NAME, data_center, NULL,
                    "data center of this host"),
    Fv_TEXT_SETTING("listen", "http", Fv_SETTING_ADDRESS, http_address, NULL,
                    "address for callers and operators"),
    Fv_TEXT_SETTING("listen", "link", Fv_SETTING_ADDRESS, link_address, NULL,
                    "address for the other entry hosts"),
    Fv_TEXT_SETTING("store", "url", Fv_SETTING_URL, store_url, NULL,
                    "base URL of the platform's key-value store"),
    Fv_TEXT_SETTING("store", "prefix", Fv_SETTING_PREFIX, store_prefix,
                    "/fireflyvalve", "prefix of all keys in the store"),
    Fv_INT_SETTING("store", "timeout_ms", store_timeout_ms, 50, 60000, "1000",
                   "time limit of one store call"),
    Fv_TEXT_SETTING("platform", "host_list_url", Fv_SETTING_URL, host_list_url,
                    NULL, "URL of the platform's host list"),
    Fv_TEXT_SETTING("secrets", "cluster_key_file", Fv_SETTING_KEY_FILE,
                    cluster_key_file, NULL,
                    "file with the key shared by the entry hosts"),
    Fv_TEXT_SETTING("secrets", "tokens_file", Fv_SETTING_TOKENS_FILE,
                    tokens_file, NULL, "file with the members' tokens"),
    Fv_INT_SETTING("lease", "ttl_ms", lease_ttl_ms, 300, 60000, "3000",
                   "time for which a worker lease is granted"),
    Fv_INT_SETTING("lease", "renew_ms", lease_renew_ms, 100, 20000, "1000",
                   "time between renewals; at most a third of ttl_ms"),
    Fv_INT_SETTING("limits", "http_threads", http_threads, 4, 1024, "64",
                   "caller connections served at the same time"),
    Fv_INT_SETTING("limits", "queue_limit", queue_limit, 1, 1000000, "4096",
                   "jobs open on this host, queued or running"),
    Fv_INT_SETTING("limits", "drain_timeout_ms", drain_timeout_ms, 0, 3600000,
                   "30000", "time a shutdown waits for running work"),
    Fv_TEXT_SETTING("log", "level", Fv_SETTING_LEVEL, log_level, "info",
                    "least important log level that is written"),
};

#define Fv_SETTING_COUNT (sizeof(settings_table) / sizeof(settings_table[0]))

/* Destination and number of the faults of one settings file. */
typedef struct fv_faults {
    const char *path;
    FILE *out;
    int count;
} fv_faults_t;

static void report_fault(fv_faults_t *faults, const char *name,
                         const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
report_fault(fv_faults_t *faults, const char *name, const char *format, ...)
{
    va_list arguments;

    faults->count++;
    fprintf(faults->out, "%s: ", faults->path);
    if (name != NULL) {
        fprintf(faults->out, "%s: ", name);
    }
    va_start(arguments, format);
    vfprintf(faults->out, format, arguments);
    va_end(arguments);
    fputc('\n', faults->out);
}

static void
format_setting_name(const char *section, const char *key, char name[])
{
    snprintf(name, Fv_SETTING_NAME_SIZE, "%s%s%s", section ? section : "",
             section ? "." : "", key);
}

static void
describe_allowed(const fv_setting_t *setting, char *text, size_t size)
{
    static const char *const allowed[] = {
        [Fv_SETTING_NAME] = "1 to 63 of A-Z a-z 0-9 . _ -",
        [Fv_SETTING_ADDRESS] = "\"IP:PORT\" with an IPv4 address",
        [Fv_SETTING_URL] = "\"http://IP:PORT/path\" with an IPv4 address",
        [Fv_SETTING_PREFIX] = "\"/\" and 1 to 62 of A-Z a-z 0-9 . _ - /",
        [Fv_SETTING_KEY_FILE] = "path of a file with 64 hex digits",
        [Fv_SETTING_TOKENS_FILE] = "path of a tokens file",
        [Fv_SETTING_LEVEL] = "error, warn, info or debug",
    };

    if (setting->type == Fv_SETTING_INT) {
        snprintf(text, size, "integer from %" PRId32 " to %" PRId32,
                 setting->min, setting->max);
    }
    else {
        snprintf(text, size, "%s", allowed[setting->type]);
    }
}

static bool
is_port(const char *text)
{
    size_t length = strspn(text, "0123456789");
    long port = strtol(text, NULL, 10);

    return length > 0 && length <= 5 && text[length] == '\0' && port >= 1 &&
           port <= Fv_PORT_MAX;
}

static bool
is_address(const char *text)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strchr(text, ':');
    struct in_addr parsed;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    return inet_pton(AF_INET, host, &parsed) == 1 && is_port(colon + 1);
}

static bool
is_url(const char *text)
{
    static const char scheme[] = "http://";
    char address[Fv_ADDRESS_SIZE];
    const char *start = text + strlen(scheme);
    size_t length;

    if (strncmp(text, scheme, strlen(scheme)) != 0) {
        return false;
    }
    length = strcspn(start, "/");
    if (length >= sizeof(address) || strpbrk(start, " \t\"<>") != NULL) {
        return false;
    }
    memcpy(address, start, length);
    address[length] = '\0';
    return is_address(address);
}

static bool
has_only_allowed_chars(const char *text, const char *extra_chars)
{
    size_t length = strlen(text);

    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr(extra_chars, text[i]) == NULL) {
            return false;
        }
    }
    return length > 0;
}

static bool
is_valid_text(const fv_setting_t *setting, const char *text)
{
    fv_log_level_t level;

    switch (setting->type) {
    case Fv_SETTING_NAME:
        return has_only_allowed_chars(text, "._-");
    case Fv_SETTING_ADDRESS:
        return is_address(text);
    case Fv_SETTING_URL:
        return is_url(text);
    case Fv_SETTING_PREFIX:
        return text[0] == '/' && has_only_allowed_chars(text + 1, "._-/");
    case Fv_SETTING_LEVEL:
        return FvLog_ParseLevel(text, &level);
    default:
        return text[0] != '\0';
    }
}

static void
store_text(const fv_setting_t *setting, const char *text,
           fv_settings_t *settings)
{
    char *field = (char *)settings + setting->offset;

    if (setting->type == Fv_SETTING_LEVEL) {
        FvLog_ParseLevel(text, &settings->log_level);
    }
    else {
        snprintf(field, setting->size, "%s", text);
    }
}

static void
set_text(const fv_setting_t *setting, const char *name, const json_t *value,
         fv_settings_t *settings, fv_faults_t *faults)
{
    const char *text = json_string_value(value);
    char allowed[Fv_REASON_SIZE];

    describe_allowed(setting, allowed, sizeof(allowed));
    if (text == NULL) {
        report_fault(faults, name, "wrong type; allowed: a string, %s",
                     allowed);
    }
    else if (strlen(text) != json_string_length(value) ||
             (setting->type != Fv_SETTING_LEVEL &&
              strlen(text) >= setting->size)) {
        report_fault(faults, name, "too long or with NUL bytes; allowed: %s",
                     allowed);
    }
    else if (!is_valid_text(setting, text)) {
        report_fault(faults, name, "invalid value \"%s\"; allowed: %s", text,
                     allowed);
    }
    else {
        store_text(setting, text, settings);
    }
}

static void
set_int(const fv_setting_t *setting, const char *name, const json_t *value,
        fv_settings_t *settings, fv_faults_t *faults)
{
    json_int_t number = json_integer_value(value);
    char allowed[Fv_REASON_SIZE];

    describe_allowed(setting, allowed, sizeof(allowed));
    if (!json_is_integer(value)) {
        report_fault(faults, name, "wrong type; allowed: %s", allowed);
    }
    else if (number < setting->min || number > setting->max) {
        report_fault(faults, name,
                     "out of range: %" JSON_INTEGER_FORMAT "; allowed: %s",
                     number, allowed);
    }
    else {
        *(int32_t *)(void *)((char *)settings + setting->offset) =
            (int32_t)number;
    }
}

static void
set_default(const fv_setting_t *setting, fv_settings_t *settings)
{
    if (setting->type == Fv_SETTING_INT) {
        *(int32_t *)(void *)((char *)settings + setting->offset) =
            (int32_t)strtol(setting->default_value, NULL, 10);
    }
    else {
        store_text(setting, setting->default_value, settings);
    }
}

static void
read_setting(const fv_setting_t *setting, const json_t *root,
             fv_settings_t *settings, fv_faults_t *faults)
{
    const json_t *section = root;
    const json_t *value;
    char name[Fv_SETTING_NAME_SIZE];
    char allowed[Fv_REASON_SIZE];

    format_setting_name(setting->section, setting->key, name);
    if (setting->section != NULL) {
        section = json_object_get(root, setting->section);
    }
    value = json_object_get(section, setting->key);
    if (value == NULL && setting->default_value != NULL) {
        set_default(setting, settings);
    }
    else if (value == NULL) {
        describe_allowed(setting, allowed, sizeof(allowed));
        report_fault(faults, name, "missing; allowed: %s", allowed);
    }
    else if (setting->type == Fv_SETTING_INT) {
        set_int(setting, name, value, settings, faults);
    }
    else {
        set_text(setting, name, value, settings, faults);
    }
}

static bool
is_same_section(const char *a, const char *b)
{
    return a == b || (a != NULL && b != NULL && strcmp(a, b) == 0);
}

static bool
is_section(const char *name)
{
    for (size_t i = 0; i < Fv_SETTING_COUNT; i++) {
        if (settings_table[i].section != NULL &&
            strcmp(settings_table[i].section, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Lists the keys of a section, or the top-level keys and the sections. */
static void
list_known_keys(const char *section, char *text, size_t size)
{
    size_t used = 0;
    const char *last = NULL;

    text[0] = '\0';
    for (size_t i = 0; i < Fv_SETTING_COUNT && used < size; i++) {
        const fv_setting_t *setting = &settings_table[i];
        const char *name = NULL;

        if (is_same_section(section, setting->section)) {
            name = setting->key;
        }
        else if (section == NULL && !is_same_section(last, setting->section)) {
            name = setting->section;
        }
        last = setting->section;
        if (name != NULL) {
            used += (size_t)snprintf(text + used, size - used, "%s%s",
                                     used > 0 ? ", " : "", name);
        }
    }
}

static bool
is_known_key(const char *section, const char *key)
{
    for (size_t i = 0; i < Fv_SETTING_COUNT; i++) {
        if (is_same_section(section, settings_table[i].section) &&
            strcmp(settings_table[i].key, key) == 0) {
            return true;
        }
    }
    return section == NULL && is_section(key);
}

static void
report_unknown_keys(const char *section, const json_t *object,
                    fv_faults_t *faults)
{
    char name[Fv_SETTING_NAME_SIZE];
    char known[Fv_REASON_SIZE * 2];
    const char *key;
    json_t *value;

    list_known_keys(section, known, sizeof(known));
    json_object_foreach((json_t *)object, key, value)
    {
        format_setting_name(section, key, name);
        if (!is_known_key(section, key)) {
            report_fault(faults, name, "unknown key; allowed: %s", known);
        }
        else if (section == NULL && is_section(key)) {
            if (json_is_object(value)) {
                report_unknown_keys(key, value, faults);
            }
            else {
                report_fault(faults, name,
                             "wrong type; allowed: a table, [%s]", key);
            }
        }
    }
}

/*
 * A secret that other users of the machine can read, or that anyone but its
 * owner can change, is refused.
 */
static bool
check_secret_file(const char *path, char reason[Fv_REASON_SIZE])
{
    struct stat info;
    FILE *file = fopen(path, "re");
    bool ok = false;

    if (file == NULL) {
        snprintf(reason, Fv_REASON_SIZE, "cannot be read: %s",
                 strerror(errno));
        return false;
    }
    if (fstat(fileno(file), &info) != 0 || !S_ISREG(info.st_mode)) {
        snprintf(reason, Fv_REASON_SIZE, "is not a regular file");
    }
    else if ((info.st_mode & (S_IWGRP | S_IRWXO)) != 0) {
        snprintf(reason, Fv_REASON_SIZE,
                 "has mode %03o; allowed: 600, 400, 640 or 440",
                 (unsigned)(info.st_mode & 0777));
    }
    else {
        ok = true;
    }
    fclose(file);
    return ok;
}

static int
hex_value(char digit)
{
    const char *digits = "0123456789abcdef";
    const char *at = strchr(digits, tolower((unsigned char)digit));

    return digit != '\0' && at != NULL ? (int)(at - digits) : -1;
}

/**
 * FvSettings_ReadClusterKey - read the key shared by the entry hosts
 * @path: a file with 64 hex digits, with or without a line feed
 * @key: set to the 32 bytes
 * @reason: set when the file is not acceptable; never shows its content
 *
 * Return: true when the key was read.
 */
bool
FvSettings_ReadClusterKey(const char *path, uint8_t key[32],
                          char reason[Fv_REASON_SIZE])
{
    char text[Fv_KEY_FILE_HEX_DIGITS + 4] = "";
    size_t length = 0;
    FILE *file;

    if (!check_secret_file(path, reason)) {
        return false;
    }
    file = fopen(path, "re");
    if (file != NULL) {
        length = fread(text, 1, sizeof(text) - 1, file);
        fclose(file);
    }
    while (length > 0 && isspace((unsigned char)text[length - 1])) {
        length--;
    }
    for (size_t i = 0; i < Fv_KEY_FILE_HEX_DIGITS; i++) {
        int digit = i < length ? hex_value(text[i]) : -1;

        if (digit < 0 || length != Fv_KEY_FILE_HEX_DIGITS) {
            snprintf(reason, Fv_REASON_SIZE,
                     "has a wrong format; allowed: exactly 64 hex digits");
            return false;
        }
        key[i / 2] = (uint8_t)(i % 2 == 0 ? digit << 4 : key[i / 2] | digit);
    }
    return true;
}

static void
check_tokens(const char *path, fv_faults_t *faults)
{
    char reason[Fv_REASON_SIZE] = "";
    fv_tokens_t *tokens;

    if (!check_secret_file(path, reason)) {
        report_fault(faults, "secrets.tokens_file", "%s %s", path, reason);
        return;
    }
    tokens = FvTokens_Load(path, reason);
    if (tokens == NULL) {
        report_fault(faults, "secrets.tokens_file", "%s: %s", path, reason);
    }
    FvTokens_Free(tokens);
}

static void
check_secrets(const fv_settings_t *settings, fv_faults_t *faults)
{
    char reason[Fv_REASON_SIZE] = "";
    uint8_t key[32];

    if (settings->cluster_key_file[0] != '\0' &&
        !FvSettings_ReadClusterKey(settings->cluster_key_file, key, reason)) {
        report_fault(faults, "secrets.cluster_key_file", "%s %s",
                     settings->cluster_key_file, reason);
    }
    if (settings->tokens_file[0] != '\0') {
        check_tokens(settings->tokens_file, faults);
    }
    explicit_bzero(key, sizeof(key));
}

static void
check_combinations(const fv_settings_t *settings, fv_faults_t *faults)
{
    if (settings->lease_ttl_ms > 0 &&
        settings->lease_renew_ms > settings->lease_ttl_ms / 3) {
        report_fault(faults, "lease.renew_ms",
                     "out of range: %" PRId32
                     "; allowed: at most a third of lease.ttl_ms (%" PRId32
                     ")",
                     settings->lease_renew_ms, settings->lease_ttl_ms / 3);
    }
    if (settings->http_address[0] != '\0' &&
        strcmp(settings->http_address, settings->link_address) == 0) {
        report_fault(faults, "listen.link",
                     "same address as listen.http; allowed: another port");
    }
}

/**
 * FvSettings_Load - read and check the settings file
 * @path: the TOML file
 * @settings: filled in
 * @faults: each fault is written here as one line
 *
 * All faults are reported, not only the first one; a syntax error hides the
 * rest of the file.
 *
 * Return: true when there was no fault.
 */
bool
FvSettings_Load(const char *path, fv_settings_t *settings, FILE *faults)
{
    fv_faults_t found = {.path = path, .out = faults};
    char reason[Fv_REASON_SIZE] = "";
    json_t *root = FvToml_ReadFile(path, reason);

    *settings = (fv_settings_t){0};
    if (root == NULL) {
        report_fault(&found, NULL, "%s", reason);
        return false;
    }
    report_unknown_keys(NULL, root, &found);
    for (size_t i = 0; i < Fv_SETTING_COUNT; i++) {
        read_setting(&settings_table[i], root, settings, &found);
    }
    check_combinations(settings, &found);
    check_secrets(settings, &found);
    json_decref(root);
    return found.count == 0;
}

/**
 * FvSettings_PrintTable - print every setting as a Markdown table
 * @out: where it goes
 */
void
FvSettings_PrintTable(FILE *out)
{
    fputs("| setting | allowed | default | meaning |\n|---|---|---|---|\n",
          out);
    for (size_t i = 0; i < Fv_SETTING_COUNT; i++) {
        const fv_setting_t *setting = &settings_table[i];
        char name[Fv_SETTING_NAME_SIZE];
        char allowed[Fv_REASON_SIZE];

        format_setting_name(setting->section, setting->key, name);
        describe_allowed(setting, allowed, sizeof(allowed));
        fprintf(out, "| %s | %s | %s | %s |\n", name, allowed,
                setting->default_value ? setting->default_value : "required",
                setting->help);
    }
}
