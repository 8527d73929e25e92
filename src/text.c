/*
 * Strings: validation, encodings and hashes.
 */

#include "fireflyvalve.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/**
 * FvText_Copy - copy a string into a fixed array
 * @target: the array
 * @size: size of the array
 * @source: the string; NULL counts as empty
 *
 * Return: false when the string was truncated.
 */
bool
FvText_Copy(char *target, size_t size, const char *source)
{
    size_t length = source ? strlen(source) : 0;
    bool fits = length < size;

    if (!fits) {
        length = size - 1;
    }
    if (length > 0) {
        memcpy(target, source, length);
    }
    target[length] = '\0';
    return fits;
}

/**
 * FvText_IsName - check whether an untrusted string is a valid name
 * @text: the string, or NULL
 * @max_length: maximum length
 *
 * Return: true when the string isn't empty and has only letters, digits, dots,
 * underscores and hyphens.
 */
bool
FvText_IsName(const char *text, size_t max_length)
{
    size_t length = text ? strlen(text) : 0;

    if (length == 0 || length > max_length) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("._-", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/**
 * FvText_IsWord - check whether an untrusted string is one word of a line
 * @text: the string
 *
 * Return: true when the string isn't empty and has neither blanks nor control
 * characters.
 */
bool
FvText_IsWord(const char *text)
{
    const char *c = text;

    while ((unsigned char)*c > ' ' && *c != 0x7f) {
        c++;
    }
    return c != text && *c == '\0';
}

/**
 * FvText_RandomHex - fill an array with random hexadecimal digits
 * @target: the array
 * @size: size of the array, odd: two digits for each byte and a NUL
 */
void
FvText_RandomHex(char *target, size_t size)
{
    uint8_t bytes[64];
    size_t count = (size - 1) / 2;

    randombytes_buf(bytes, count);
    sodium_bin2hex(target, size, bytes, count);
}

/**
 * FvText_EncodeBase64 - encode bytes in base64
 * @data: the bytes
 * @length: number of bytes
 *
 * Return: a string that the caller frees, or NULL when memory is exhausted.
 */
char *
FvText_EncodeBase64(const void *data, size_t length)
{
    size_t size =
        sodium_base64_ENCODED_LEN(length, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(size);

    if (text != NULL) {
        sodium_bin2base64(text, size, data, length,
                          sodium_base64_VARIANT_ORIGINAL);
    }
    return text;
}

/**
 * FvText_DecodeBase64 - decode a base64 string
 * @text: the string
 * @out: an empty buffer; set to the bytes
 *
 * Return: false when the string is malformed or memory is exhausted.
 */
bool
FvText_DecodeBase64(const char *text, fv_buffer_t *out)
{
    size_t text_length = strlen(text);
    size_t capacity = text_length / 4 * 3 + 4;
    size_t length = 0;
    uint8_t *data = malloc(capacity);

    if (data == NULL) {
        return false;
    }
    if (sodium_base642bin(data, capacity - 1, text, text_length, NULL, &length,
                          NULL, sodium_base64_VARIANT_ORIGINAL) != 0) {
        free(data);
        return false;
    }
    data[length] = '\0';
    *out = (fv_buffer_t){.data = data, .length = length, .capacity = capacity};
    return true;
}

/**
 * FvText_Sha256Hex - compute a SHA-256 digest in hexadecimal
 * @data: the bytes
 * @length: number of bytes
 * @digest: set to 64 digits and a NUL
 */
void
FvText_Sha256Hex(const void *data, size_t length,
                 char digest[Fv_HASH256_HEX_SIZE])
{
    uint8_t hash[crypto_hash_sha256_BYTES];

    crypto_hash_sha256(hash, data, length);
    sodium_bin2hex(digest, Fv_HASH256_HEX_SIZE, hash, sizeof(hash));
}

/**
 * FvText_Hash - compute an XXH64 hash
 * @data: the bytes
 * @length: number of bytes
 * @seed: the seed
 *
 * Return: the hash.
 */
uint64_t
FvText_Hash(const void *data, size_t length, uint64_t seed)
{
    return XXH64(data, length, seed);
}

/**
 * FvText_RendezvousWeight - weight of a host in rendezvous hashing
 * @key: the key to be assigned
 * @host: the candidate
 *
 * A key is assigned to the candidate with the highest weight, so when a host
 * joins or leaves only the keys assigned to it move.
 *
 * Return: the weight.
 */
uint64_t
FvText_RendezvousWeight(const char *key, const char *host)
{
    return XXH64(key, strlen(key), XXH64(host, strlen(host), 0));
}

/**
 * FvText_ParseAddress - parse an IPv4 address of the form IP:PORT
 * @text: the string
 * @address: set to the address
 *
 * Return: false when the string is malformed.
 */
bool
FvText_ParseAddress(const char *text, struct sockaddr_in *address)
{
    char host[Fv_ADDRESS_SIZE];
    char *colon;
    char *port;
    char *end;
    long number;

    if (!FvText_Copy(host, sizeof(host), text)) {
        return false;
    }
    colon = strrchr(host, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    port = colon + 1;
    if (!isdigit((unsigned char)*port)) {
        return false; /* strtol would skip blanks and signs */
    }
    number = strtol(port, &end, 10);
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons((uint16_t)number)};
    return *end == '\0' && number > 0 && number <= UINT16_MAX &&
           inet_pton(AF_INET, host, &address->sin_addr) == 1;
}
