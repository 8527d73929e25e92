/*
 * Reads a TOML file into a jansson object, using toml++. This is in C++
 * because Debian 12 has no C library for TOML.
 */

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include "toml.h"

#include <cstdio>
#include <string>

static json_t *
convert_node(const toml::node &node)
{
    json_t *result = nullptr;

    if (const toml::table *table = node.as_table()) {
        result = json_object();
        for (const auto &[key, value] : *table) {
            json_object_set_new(result, std::string(key.str()).c_str(),
                                convert_node(value));
        }
    }
    else if (const toml::array *array = node.as_array()) {
        result = json_array();
        for (const toml::node &value : *array) {
            json_array_append_new(result, convert_node(value));
        }
    }
    else if (const auto text = node.value_exact<std::string>()) {
        result = json_stringn(text->data(), text->size());
    }
    else if (const auto number = node.value_exact<int64_t>()) {
        result = json_integer(*number);
    }
    else if (const auto flag = node.value_exact<bool>()) {
        result = json_boolean(*flag);
    }
    else if (const auto real = node.value_exact<double>()) {
        result = json_real(*real);
    }
    /* Dates have no JSON type. They become null, which no setting accepts. */
    return result != nullptr ? result : json_null();
}

/**
 * FvToml_ReadFile - read a TOML file
 * @path: the file
 * @reason: set to an error message with the position, on failure
 *
 * Only the first syntax error or duplicate key is reported, since toml++ stops
 * there.
 *
 * Return: a JSON object owned by the caller, or NULL on failure.
 */
extern "C" json_t *
FvToml_ReadFile(const char *path, char reason[Fv_REASON_SIZE])
{
    toml::parse_result result = toml::parse_file(path);

    if (!result) {
        const toml::parse_error &error = result.error();

        if (error.source().begin.line == 0) {
            snprintf(reason, Fv_REASON_SIZE, "%s",
                     std::string(error.description()).c_str());
        }
        else {
            snprintf(reason, Fv_REASON_SIZE, "line %u, column %u: %s",
                     static_cast<unsigned>(error.source().begin.line),
                     static_cast<unsigned>(error.source().begin.column),
                     std::string(error.description()).c_str());
        }
        return nullptr;
    }
    return convert_node(result.table());
}
