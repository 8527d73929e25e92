/*
 * Handshake between entry hosts. The accepting side sends a challenge. The
 * hello and welcome messages carry a MAC over the nonces of both sides, so
 * that neither can be replayed on another connection.
 */

#include "daemon.h"

#include <sodium.h>
#include <string.h>

/* The direction is part of the MAC, so that the MAC of a hello can't be
 * reflected in a welcome. */
static void
compute_mac(const fv_daemon_t *daemon, const char *direction,
            const char *peer_nonce, const char *own_nonce,
            const fv_hello_t *hello, char mac[Fv_HASH256_HEX_SIZE])
{
    uint8_t hash[crypto_auth_BYTES];
    char text[1024];
    int length = snprintf(text, sizeof(text), "%s|%s|%s|%s|%s|%s", direction,
                          peer_nonce, own_nonce, hello->cluster, hello->host,
                          hello->incarnation);

    crypto_auth(hash, (const uint8_t *)text, (unsigned long long)length,
                daemon->cluster_key);
    sodium_bin2hex(mac, Fv_HASH256_HEX_SIZE, hash, sizeof(hash));
}

static void
fill_identity(const fv_daemon_t *daemon, const char *nonce, fv_hello_t *hello)
{
    const fv_settings_t *settings = &daemon->settings;

    FvText_Copy(hello->cluster, Fv_NAME_SIZE, settings->cluster);
    FvText_Copy(hello->host, Fv_NAME_SIZE, settings->host);
    FvText_Copy(hello->incarnation, Fv_NONCE_SIZE, daemon->incarnation);
    FvText_Copy(hello->region, Fv_NAME_SIZE, settings->region);
    FvText_Copy(hello->data_center, Fv_NAME_SIZE, settings->data_center);
    FvText_Copy(hello->nonce, Fv_NONCE_SIZE, nonce);
}

static bool
macs_match(const char *expected, const char *received)
{
    size_t length = strlen(expected);

    return strlen(received) == length &&
           sodium_memcmp(expected, received, length) == 0;
}

/**
 * FvHandshake_Challenge - make the first message of the accepting side
 * @daemon: this daemon
 * @nonce: this side's nonce for the connection
 * @challenge: set to the message
 */
void
FvHandshake_Challenge(const fv_daemon_t *daemon, const char *nonce,
                      fv_hello_t *challenge)
{
    fill_identity(daemon, nonce, challenge);
}

/**
 * FvHandshake_Hello - make the dialing side's response to a challenge
 * @daemon: this daemon
 * @challenge: the challenge received
 * @nonce: this side's nonce for the connection
 * @hello: set to the message
 */
void
FvHandshake_Hello(const fv_daemon_t *daemon, const fv_hello_t *challenge,
                  const char *nonce, fv_hello_t *hello)
{
    fill_identity(daemon, nonce, hello);
    compute_mac(daemon, "hello", challenge->nonce, nonce, hello, hello->mac);
}

/**
 * FvHandshake_AcceptHello - verify a hello and make the welcome
 * @daemon: this daemon
 * @nonce: this side's nonce for the connection
 * @hello: the hello received
 * @welcome: set to the message
 *
 * Return: false if the peer belongs to another cluster or lacks the key.
 */
bool
FvHandshake_AcceptHello(const fv_daemon_t *daemon, const char *nonce,
                        const fv_hello_t *hello, fv_hello_t *welcome)
{
    char expected[Fv_HASH256_HEX_SIZE];

    compute_mac(daemon, "hello", nonce, hello->nonce, hello, expected);
    if (strcmp(hello->cluster, daemon->settings.cluster) != 0 ||
        !macs_match(expected, hello->mac)) {
        FvLog_Event(Fv_LOG_WARN, "link_rejected", "peer=%s reason=bad_key",
                    hello->host);
        return false;
    }
    fill_identity(daemon, nonce, welcome);
    compute_mac(daemon, "welcome", hello->nonce, nonce, welcome, welcome->mac);
    return true;
}

/**
 * FvHandshake_AcceptWelcome - verify a welcome
 * @daemon: this daemon
 * @nonce: this side's nonce for the connection
 * @host: the host that was dialed
 * @welcome: the welcome received
 *
 * Return: false if the peer lacks the key or is another host.
 */
bool
FvHandshake_AcceptWelcome(const fv_daemon_t *daemon, const char *nonce,
                          const char *host, const fv_hello_t *welcome)
{
    char expected[Fv_HASH256_HEX_SIZE];

    compute_mac(daemon, "welcome", nonce, welcome->nonce, welcome, expected);
    if (!macs_match(expected, welcome->mac) ||
        strcmp(welcome->host, host) != 0) {
        FvLog_Event(Fv_LOG_WARN, "link_rejected",
                    "peer=%s answered_as=%s reason=bad_welcome", host,
                    welcome->host);
        return false;
    }
    return true;
}
