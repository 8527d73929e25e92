/*
 * Settings of an entry host on the users' platform, rendered as TOML from
 * deploy/entry.toml.in.
 */

#include "entry.h"

#include <string.h>

/* Used where the settings don't tell how large a value the store takes. */
#define Fv_STORE_VALUE_DEFAULT_BYTES (1024 * 1024)

/* Used where the settings don't tell how much memory the process may use: the
 * memory for control at the design size (docs/CAPACITY.md). */
#define Fv_MEMORY_DEFAULT_MB 128

/* Limits of callers' connections, see docs/operating.md. The users' callers
 * send a header within 3 s and are idle for up to 15 s; the defaults are twice
 * as long. A body has the 30 s that an idle connection had before. */
#define Fv_CALLER_HEADER_MS 6000
#define Fv_CALLER_BODY_MS 30000
#define Fv_CALLER_IDLE_MS 30000
/* As long as the users' callers may be idle. */
#define Fv_CALLER_UNREAD_MS 15000
/* Some hundred requests of the usual size. */
#define Fv_CALLER_READ_AHEAD_KB 16

typedef enum fv_setting_kind {
    Fv_SETTING_TEXT,
    Fv_SETTING_ADDRESS, /* IPv4 address and port */
    Fv_SETTING_INT,
    Fv_SETTING_NUMBER,
    Fv_SETTING_BOOL
} fv_setting_kind_t;

typedef struct fv_setting {
    const char *name;
    fv_setting_kind_t kind;
    size_t offset;
    size_t size; /* of a text or address */
    bool required;
    double low;
    double high;
} fv_setting_t;

#define STRING(field, kind, is_required)                                      \
    {                                                                         \
#field, kind, offsetof(fv_entry_settings_t, field),                   \
            sizeof(((fv_entry_settings_t *)0)->field), is_required, 0, 0      \
    }
#define TEXT(field) STRING(field, Fv_SETTING_TEXT, true)
#define ADDRESS(field, is_required)                                           \
    STRING(field, Fv_SETTING_ADDRESS, is_required)
#define OPTIONAL(name, field, kind, from, to)                                 \
    {                                                                         \
        name, kind, offsetof(fv_entry_settings_t, field), 0, false, from, to  \
    }
#define INT(field, from, to)                                                  \
    {                                                                         \
#field, Fv_SETTING_INT, offsetof(fv_entry_settings_t, field), 0,      \
            true, from, to                                                    \
    }

static const fv_setting_t setting_table[] = {
    TEXT(host),
    TEXT(data_center),
    TEXT(region),
    TEXT(address),
    ADDRESS(callers_address, true),
    ADDRESS(ready_address, true),
    ADDRESS(metrics_address, false),
    INT(link_port, 1, 65535),
    {"cpu_cores", Fv_SETTING_NUMBER, offsetof(fv_entry_settings_t, cpu_cores),
     0, true, 0.01, 1024},
    {"memory_mb", Fv_SETTING_NUMBER, offsetof(fv_entry_settings_t, memory_mb),
     0, false, 16, 1048576},
    ADDRESS(store_address, true),
    INT(store_lease_min_ms, 1, 600000),
    ADDRESS(advice_address, false),
    INT(descriptors_max, 256, 1048576),
    INT(lease_max_ms, 500, 600000),
    INT(stop_timeout_ms, 1, 600000),
    INT(gang_timeout_ms, 500, 600000),
    INT(drain_ms, 100, 600000),
    INT(keep_ended_s, 1, 86400),
    {"store_value_max_bytes", Fv_SETTING_INT,
     offsetof(fv_entry_settings_t, store_value_max_bytes), 0, false, 4096,
     INT32_MAX},
    {"learn_worker_speeds", Fv_SETTING_BOOL,
     offsetof(fv_entry_settings_t, learn_worker_speeds), 0, false, 0, 0},
    OPTIONAL("caller_connections_max", callers.connections_max, Fv_SETTING_INT,
             8, 1048576),
    OPTIONAL("caller_memory_mb", callers.memory_mb, Fv_SETTING_NUMBER, 1,
             1048576),
    OPTIONAL("caller_header_ms", callers.header_ms, Fv_SETTING_INT, 100,
             600000),
    OPTIONAL("caller_body_ms", callers.body_ms, Fv_SETTING_INT, 100, 600000),
    OPTIONAL("caller_unread_ms", callers.unread_ms, Fv_SETTING_INT, 100,
             600000),
    OPTIONAL("caller_idle_ms", callers.idle_ms, Fv_SETTING_INT, 100, 600000),
    OPTIONAL("caller_read_ahead_kb", callers.read_ahead_kb, Fv_SETTING_INT, 1,
             1024),
};

#undef STRING
#undef TEXT
#undef ADDRESS
#undef OPTIONAL
#undef INT

#define Fv_SETTING_COUNT (sizeof(setting_table) / sizeof(setting_table[0]))

static bool
read_text(const fv_setting_t *setting, const json_t *value, char *target)
{
    const char *text = json_string_value(value);
    struct sockaddr_in parsed;

    if (text == NULL || !FvText_Copy(target, setting->size, text)) {
        return false;
    }
    if (text[0] == '\0') {
        return !setting->required;
    }
    return setting->kind != Fv_SETTING_ADDRESS ||
           FvText_ParseAddress(text, &parsed);
}

static bool
read_number(const fv_setting_t *setting, const json_t *value, void *target)
{
    double number = json_number_value(value);

    if (!json_is_number(value) || number < setting->low ||
        number > setting->high) {
        return false;
    }
    if (setting->kind == Fv_SETTING_INT) {
        int32_t whole = (int32_t)number;

        memcpy(target, &whole, sizeof(whole));
        return json_is_integer(value);
    }
    memcpy(target, &number, sizeof(number));
    return true;
}

static bool
read_bool(const json_t *value, void *target)
{
    bool truth = json_is_true(value);

    memcpy(target, &truth, sizeof(truth));
    return json_is_boolean(value);
}

static bool
read_value(const fv_setting_t *setting, const json_t *value, char *target)
{
    switch (setting->kind) {
    case Fv_SETTING_TEXT:
    case Fv_SETTING_ADDRESS:
        return read_text(setting, value, target);
    case Fv_SETTING_BOOL:
        return read_bool(value, target);
    case Fv_SETTING_INT:
    case Fv_SETTING_NUMBER:
    default:
        return read_number(setting, value, target);
    }
}

static void
print_error(const fv_setting_t *setting, const json_t *value, const char *path,
            FILE *errors)
{
    const char *text = json_string_value(value);

    fprintf(errors, "%s: %s: ", path, setting->name);
    switch (setting->kind) {
    case Fv_SETTING_TEXT:
        fprintf(errors, "needs a text of 1 to %zu bytes\n", setting->size - 1);
        break;
    case Fv_SETTING_ADDRESS:
        fprintf(errors, "\"%s\" is not an IPv4 address with a port\n",
                text ? text : "");
        break;
    case Fv_SETTING_BOOL:
        fprintf(errors, "needs true or false\n");
        break;
    case Fv_SETTING_INT:
    case Fv_SETTING_NUMBER:
    default:
        fprintf(errors, "needs a number from %g to %g\n", setting->low,
                setting->high);
        break;
    }
}

static bool
read_setting(const fv_setting_t *setting, const json_t *table,
             fv_entry_settings_t *settings, const char *path, FILE *errors)
{
    const json_t *value = json_object_get(table, setting->name);
    char *target = (char *)settings + setting->offset;
    bool valid;

    if (value == NULL && !setting->required) {
        return true;
    }
    valid = read_value(setting, value, target);
    if (!valid) {
        print_error(setting, value, path, errors);
    }
    return valid;
}

/**
 * FvEntrySettings_Load - read and check a settings file
 * @path: the file
 * @settings: filled in
 * @errors: receives a line for every error
 *
 * Return: false when there is an error.
 */
bool
FvEntrySettings_Load(const char *path, fv_entry_settings_t *settings,
                     FILE *errors)
{
    char reason[Fv_REASON_SIZE];
    json_t *table = FvToml_ReadFile(path, reason);
    const char *level;
    bool valid = true;

    *settings = (fv_entry_settings_t){
        .store_value_max_bytes = Fv_STORE_VALUE_DEFAULT_BYTES,
        .memory_mb = Fv_MEMORY_DEFAULT_MB,
        .callers = {.header_ms = Fv_CALLER_HEADER_MS,
                    .body_ms = Fv_CALLER_BODY_MS,
                    .unread_ms = Fv_CALLER_UNREAD_MS,
                    .idle_ms = Fv_CALLER_IDLE_MS,
                    .read_ahead_kb = Fv_CALLER_READ_AHEAD_KB},
        .learn_worker_speeds = true,
        .log_level = Fv_LOG_INFO};
    if (table == NULL) {
        fprintf(errors, "%s: %s\n", path, reason);
        return false;
    }
    for (size_t i = 0; i < Fv_SETTING_COUNT; i++) {
        valid &=
            read_setting(&setting_table[i], table, settings, path, errors);
    }
    level = FvJson_String(table, "log_level");
    if (level != NULL && !FvLog_ParseLevel(level, &settings->log_level)) {
        fprintf(errors, "%s: log_level: must be error, warn, info or debug\n",
                path);
        valid = false;
    }
    json_decref(table);
    return valid;
}
