/*
 * Prints JSON documents as readable text: scalars as "name  value" lines,
 * arrays of objects as tables, and deeper values as separate tables.
 */

#include "command.h"

#include <stdlib.h>
#include <string.h>

#define Fv_COLUMNS_MAX 32
#define Fv_COLUMN_NAME_SIZE 80
#define Fv_CELL_SIZE 160
#define Fv_TITLE_SIZE 256
#define Fv_DEPTH_MAX 8

typedef struct fv_columns {
    int count;
    char names[Fv_COLUMNS_MAX][Fv_COLUMN_NAME_SIZE];
    size_t widths[Fv_COLUMNS_MAX];
} fv_columns_t;

static void print_value(FILE *out, const char *title, const json_t *value,
                        int depth);

static bool
is_scalar(const json_t *value)
{
    return !json_is_object(value) && !json_is_array(value);
}

static bool
holds_only_scalars(const json_t *array)
{
    for (size_t i = 0; i < json_array_size(array); i++) {
        if (!is_scalar(json_array_get(array, i))) {
            return false;
        }
    }
    return true;
}

/* Control characters in a reply could change the terminal's state. */
static void
replace_controls(char *text)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < 0x20 || *text == 0x7f) {
            *text = '?';
        }
    }
}

static void
format_scalar(const json_t *value, char text[Fv_CELL_SIZE])
{
    if (json_is_string(value)) {
        snprintf(text, Fv_CELL_SIZE, "%s", json_string_value(value));
    }
    else if (json_is_integer(value)) {
        snprintf(text, Fv_CELL_SIZE, "%" JSON_INTEGER_FORMAT,
                 json_integer_value(value));
    }
    else if (json_is_real(value)) {
        snprintf(text, Fv_CELL_SIZE, "%.4g", json_real_value(value));
    }
    else if (json_is_boolean(value)) {
        snprintf(text, Fv_CELL_SIZE, "%s", json_is_true(value) ? "yes" : "no");
    }
    else {
        snprintf(text, Fv_CELL_SIZE, "-");
    }
    replace_controls(text);
}

static void
format_list(const json_t *array, char text[Fv_CELL_SIZE])
{
    size_t used = 0;

    text[0] = '\0';
    for (size_t i = 0; i < json_array_size(array); i++) {
        char item[Fv_CELL_SIZE];

        format_scalar(json_array_get(array, i), item);
        used += (size_t)snprintf(text + used, Fv_CELL_SIZE - used, "%s%s",
                                 i > 0 ? "," : "", item);
        if (used >= Fv_CELL_SIZE) {
            snprintf(text + Fv_CELL_SIZE - 4, 4, "...");
            return;
        }
    }
}

static void
format_cell(const json_t *value, char text[Fv_CELL_SIZE])
{
    if (json_is_array(value)) {
        format_list(value, text);
    }
    else {
        format_scalar(value, text);
    }
    if (text[0] == '\0') {
        snprintf(text, Fv_CELL_SIZE, "-");
    }
}

/* A cell is a scalar or a list of scalars. */
static bool
is_cell(const json_t *value)
{
    return is_scalar(value) ||
           (json_is_array(value) && holds_only_scalars(value));
}

static void
join_name(const char *parent, const char *key, char name[Fv_COLUMN_NAME_SIZE])
{
    snprintf(name, Fv_COLUMN_NAME_SIZE, "%.38s%s%.38s", parent,
             *parent != '\0' ? "." : "", key);
}

static int
find_column(const fv_columns_t *columns, const char *name)
{
    for (int i = 0; i < columns->count; i++) {
        if (strcmp(columns->names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Fields of nested objects become columns such as free.slots. */
static void
add_columns(fv_columns_t *columns, const char *parent, const json_t *row,
            int depth)
{
    char name[Fv_COLUMN_NAME_SIZE];
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)row, key, value)
    {
        join_name(parent, key, name);
        if (json_is_object(value) && depth < Fv_DEPTH_MAX) {
            add_columns(columns, name, value, depth + 1);
        }
        else if (is_cell(value) && columns->count < Fv_COLUMNS_MAX &&
                 find_column(columns, name) < 0) {
            snprintf(columns->names[columns->count++], Fv_COLUMN_NAME_SIZE,
                     "%s", name);
        }
    }
}

/* Finds a column's value; keys may contain dots themselves. */
static const json_t *
cell_value(const json_t *row, const char *name)
{
    const json_t *value = json_object_get(row, name);

    for (const char *dot = strchr(name, '.'); value == NULL && dot != NULL;
         dot = strchr(dot + 1, '.')) {
        char parent[Fv_COLUMN_NAME_SIZE];
        const json_t *nested;

        snprintf(parent, sizeof(parent), "%.*s", (int)(dot - name), name);
        nested = json_object_get(row, parent);
        if (json_is_object(nested)) {
            value = cell_value(nested, dot + 1);
        }
    }
    return value;
}

static void
measure_columns(fv_columns_t *columns, const json_t *rows)
{
    char text[Fv_CELL_SIZE];

    for (int i = 0; i < columns->count; i++) {
        columns->widths[i] = strlen(columns->names[i]);
        for (size_t r = 0; r < json_array_size(rows); r++) {
            format_cell(cell_value(json_array_get(rows, r), columns->names[i]),
                        text);
            if (strlen(text) > columns->widths[i]) {
                columns->widths[i] = strlen(text);
            }
        }
    }
}

static void
print_cell(FILE *out, const fv_columns_t *columns, int index, const char *text)
{
    if (index + 1 == columns->count) {
        fprintf(out, "%s\n", text);
    }
    else {
        fprintf(out, "%-*s  ", (int)columns->widths[index], text);
    }
}

static void
print_rows(FILE *out, const fv_columns_t *columns, const json_t *rows)
{
    char text[Fv_CELL_SIZE];

    for (int i = 0; i < columns->count; i++) {
        print_cell(out, columns, i, columns->names[i]);
    }
    for (size_t r = 0; r < json_array_size(rows); r++) {
        for (int i = 0; i < columns->count; i++) {
            format_cell(cell_value(json_array_get(rows, r), columns->names[i]),
                        text);
            print_cell(out, columns, i, text);
        }
    }
}

/* Prints the values that don't fit into a row as separate tables. */
static void
print_nested(FILE *out, const char *title, const json_t *row, int depth)
{
    char name[Fv_TITLE_SIZE];
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)row, key, value)
    {
        snprintf(name, sizeof(name), "%.180s %.60s", title, key);
        if (json_is_array(value) && !holds_only_scalars(value)) {
            print_value(out, name, value, depth + 1);
        }
        else if (json_is_object(value) && depth < Fv_DEPTH_MAX) {
            print_nested(out, name, value, depth + 1);
        }
    }
}

static void
print_nested_of_row(FILE *out, const char *title, const json_t *row, int depth)
{
    const char *label = FvJson_String(row, "name");
    char name[Fv_TITLE_SIZE];

    if (label == NULL) {
        label = FvJson_String(row, "member");
    }
    snprintf(name, sizeof(name), "%.100s%s%.60s:", title,
             *title != '\0' ? " " : "", label ? label : "");
    replace_controls(name);
    print_nested(out, name, row, depth);
}

static void
print_table(FILE *out, const char *title, const json_t *rows, int depth)
{
    fv_columns_t columns = {0};

    if (*title != '\0') {
        fprintf(out, "\n%s\n", title);
    }
    if (json_array_size(rows) == 0) {
        fputs("(none)\n", out);
        return;
    }
    if (json_object_get(json_array_get(rows, 0), "name") != NULL) {
        snprintf(columns.names[columns.count++], Fv_COLUMN_NAME_SIZE, "name");
    }
    for (size_t r = 0; r < json_array_size(rows); r++) {
        add_columns(&columns, "", json_array_get(rows, r), 0);
    }
    measure_columns(&columns, rows);
    print_rows(out, &columns, rows);
    for (size_t r = 0; r < json_array_size(rows); r++) {
        print_nested_of_row(out, title, json_array_get(rows, r), depth);
    }
}

static bool
holds_only_objects(const json_t *object)
{
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)object, key, value)
    {
        if (!json_is_object(value)) {
            return false;
        }
    }
    return json_object_size(object) > 0;
}

/* {"a": {...}, "b": {...}} becomes a table with a first column "name". */
static void
print_objects_by_name(FILE *out, const char *title, const json_t *map,
                      int depth)
{
    json_t *rows = json_array();
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)map, key, value)
    {
        json_t *row = json_object();

        json_object_set_new(row, "name", json_string(key));
        json_object_update_missing(row, value);
        json_array_append_new(rows, row);
    }
    print_table(out, title, rows, depth);
    json_decref(rows);
}

static void
print_object(FILE *out, const char *title, const json_t *object, int depth)
{
    char text[Fv_CELL_SIZE];
    const char *key;
    json_t *value;

    if (*title != '\0') {
        fprintf(out, "\n%s\n", title);
    }
    json_object_foreach((json_t *)object, key, value)
    {
        if (is_cell(value) && (is_scalar(value) || json_array_size(value))) {
            format_cell(value, text);
            fprintf(out, "%-18s %s\n", key, text);
        }
    }
    json_object_foreach((json_t *)object, key, value)
    {
        if (!is_cell(value) ||
            (!is_scalar(value) && !json_array_size(value))) {
            print_value(out, key, value, depth + 1);
        }
    }
}

static void
print_value(FILE *out, const char *title, const json_t *value, int depth)
{
    char text[Fv_CELL_SIZE];

    if (depth > Fv_DEPTH_MAX) {
        return;
    }
    if (json_is_object(value) && depth > 0 && holds_only_objects(value)) {
        print_objects_by_name(out, title, value, depth);
    }
    else if (json_is_object(value)) {
        print_object(out, title, value, depth);
    }
    else if (json_is_array(value) &&
             json_is_object(json_array_get(value, 0))) {
        print_table(out, title, value, depth);
    }
    else {
        format_cell(value, text);
        fprintf(out, "%-18s %s\n", title, text);
    }
}

/**
 * FvPrint_Document - print a document as readable text
 * @out: where it goes
 * @document: the document
 */
void
FvPrint_Document(FILE *out, const json_t *document)
{
    print_value(out, "", document, 0);
}

/**
 * FvPrint_Json - print a document as indented JSON
 * @out: where it goes
 * @document: the document
 */
void
FvPrint_Json(FILE *out, const json_t *document)
{
    json_dumpf(document, out, JSON_INDENT(2) | JSON_ENCODE_ANY);
    fputc('\n', out);
}

/**
 * FvPrint_Reply - print a reply to standard output
 * @reply: the reply
 * @as_json: print JSON instead of text
 */
void
FvPrint_Reply(const fv_client_reply_t *reply, bool as_json)
{
    if (reply->json == NULL) {
        fwrite(reply->body.data, 1, reply->body.length, stdout);
    }
    else if (as_json) {
        FvPrint_Json(stdout, reply->json);
    }
    else {
        FvPrint_Document(stdout, reply->json);
    }
}
