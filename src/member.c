/*
 * Tokens by which members authenticate. Only keyed hashes of the tokens stay
 * in memory, and no token is ever logged or put into a reason.
 */

#include "fireflyvalve.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Shorter tokens can be guessed over the network. */
#define TOKEN_MIN_LENGTH 16
#define TOKEN_MAX_LENGTH 512

typedef struct member_token {
    char member[Fv_NAME_SIZE];
    uint8_t hash[crypto_generichash_BYTES];
} member_token_t;

struct fv_tokens {
    uint8_t hash_key[crypto_generichash_KEYBYTES];
    size_t count;
    member_token_t *entries;
};

static void
hash_token(const fv_tokens_t *tokens, const char *token,
           uint8_t hash[crypto_generichash_BYTES])
{
    crypto_generichash(hash, crypto_generichash_BYTES, (const uint8_t *)token,
                       strlen(token), tokens->hash_key,
                       sizeof(tokens->hash_key));
}

/* Compares every entry, so that the duration doesn't reveal a match. */
static const member_token_t *
find_token(const fv_tokens_t *tokens, const char *token)
{
    uint8_t hash[crypto_generichash_BYTES];
    const member_token_t *found = NULL;

    hash_token(tokens, token, hash);
    for (size_t i = 0; i < tokens->count; i++) {
        if (sodium_memcmp(tokens->entries[i].hash, hash, sizeof(hash)) == 0) {
            found = &tokens->entries[i];
        }
    }
    return found;
}

static bool
add_token(fv_tokens_t *tokens, const char *member, const json_t *value,
          char reason[Fv_REASON_SIZE])
{
    const char *token = json_string_value(value);
    size_t length = json_string_length(value);
    member_token_t *entry = &tokens->entries[tokens->count];

    if (!FvText_IsName(member, Fv_NAME_SIZE - 1)) {
        snprintf(reason, Fv_REASON_SIZE,
                 "tokens: a member's name has 1 to 63 of A-Z a-z 0-9 . _ -");
        return false;
    }
    if (token == NULL || length < TOKEN_MIN_LENGTH ||
        length > TOKEN_MAX_LENGTH || strlen(token) != length) {
        snprintf(reason, Fv_REASON_SIZE,
                 "tokens.%s: allowed is a string of %d to %d characters",
                 member, TOKEN_MIN_LENGTH, TOKEN_MAX_LENGTH);
        return false;
    }
    if (find_token(tokens, token) != NULL) {
        snprintf(reason, Fv_REASON_SIZE,
                 "tokens.%s: the token is used for another member", member);
        return false;
    }
    FvText_Copy(entry->member, sizeof(entry->member), member);
    hash_token(tokens, token, entry->hash);
    tokens->count++;
    return true;
}

static bool
add_tokens(fv_tokens_t *tokens, json_t *table, char reason[Fv_REASON_SIZE])
{
    const char *member;
    json_t *value;

    json_object_foreach(table, member, value)
    {
        if (!add_token(tokens, member, value, reason)) {
            return false;
        }
    }
    return true;
}

/**
 * FvTokens_Load - read the members' tokens
 * @path: TOML file with a table [tokens] of member = "token"
 * @reason: why it was refused; never contains a token
 *
 * Return: the tokens, or NULL when the file can't be read or has a fault.
 */
fv_tokens_t *
FvTokens_Load(const char *path, char reason[Fv_REASON_SIZE])
{
    json_t *document = NULL;
    json_t *table;
    fv_tokens_t *tokens = NULL;
    bool loaded = false;

    if (sodium_init() < 0) {
        snprintf(reason, Fv_REASON_SIZE, "libsodium can't be initialised");
        return NULL;
    }
    document = FvToml_ReadFile(path, reason);
    if (document == NULL) {
        return NULL;
    }
    table = json_object_get(document, "tokens");
    if (json_object_size(table) == 0) {
        snprintf(reason, Fv_REASON_SIZE,
                 "a table [tokens] with member = \"token\" is needed");
        goto out;
    }
    tokens = calloc(1, sizeof(*tokens));
    if (tokens == NULL) {
        snprintf(reason, Fv_REASON_SIZE, "out of memory");
        goto out;
    }
    randombytes_buf(tokens->hash_key, sizeof(tokens->hash_key));
    tokens->entries =
        calloc(json_object_size(table), sizeof(*tokens->entries));
    if (tokens->entries == NULL) {
        snprintf(reason, Fv_REASON_SIZE, "out of memory");
        goto out;
    }
    loaded = add_tokens(tokens, table, reason);

out:
    json_decref(document);
    if (!loaded) {
        FvTokens_Free(tokens);
        tokens = NULL;
    }
    return tokens;
}

/**
 * FvTokens_Free - release the tokens
 * @tokens: the tokens, or NULL
 */
void
FvTokens_Free(fv_tokens_t *tokens)
{
    if (tokens != NULL) {
        free(tokens->entries);
        free(tokens);
    }
}

/**
 * FvTokens_Authenticate - find the member a token belongs to
 * @tokens: the tokens; read-only, so any thread may call this
 * @token: the token a caller presented
 * @member: filled with the member's name
 *
 * Return: false when the token belongs to no member.
 */
bool
FvTokens_Authenticate(const fv_tokens_t *tokens, const char *token,
                      char member[Fv_NAME_SIZE])
{
    const member_token_t *found = find_token(tokens, token);

    return found != NULL && FvText_Copy(member, Fv_NAME_SIZE, found->member);
}
