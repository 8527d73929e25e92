/*
 * Authentication tokens: only the exact token of a member authenticates it,
 * and error messages do not contain a token.
 */

#include "fireflyvalve.h"
#include "suite.h"
#include "temp-path.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TOKEN_A "auckland-secret-0001"
#define TOKEN_B "otago-secret-0000002"

static fv_tokens_t *
load_tokens(const char *text, char reason[Fv_REASON_SIZE])
{
    char path[TEMP_PATH_SIZE];
    fv_tokens_t *tokens;
    int fd;

    FvTempPath_Template(path, sizeof(path), "tokens");
    fd = mkstemp(path);
    CU_ASSERT_EQUAL_FATAL(write(fd, text, strlen(text)),
                          (ssize_t)strlen(text));
    close(fd);
    tokens = FvTokens_Load(path, reason);
    unlink(path);
    return tokens;
}

static void
test_token_authenticates_its_member(void)
{
    char reason[Fv_REASON_SIZE];
    char member[Fv_NAME_SIZE] = "";
    fv_tokens_t *tokens = load_tokens("[tokens]\nauckland = \"" TOKEN_A "\"\n"
                                      "otago = \"" TOKEN_B "\"\n",
                                      reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tokens);
    CU_ASSERT_TRUE(FvTokens_Authenticate(tokens, TOKEN_B, member));
    CU_ASSERT_STRING_EQUAL(member, "otago");
    CU_ASSERT_FALSE(FvTokens_Authenticate(tokens, TOKEN_B "x", member));
    CU_ASSERT_FALSE(FvTokens_Authenticate(tokens, "", member));
    FvTokens_Free(tokens);
}

static void
test_invalid_files_are_rejected(void)
{
    static const char *const files[] = {
        "",
        "[tokens]\n",
        "tokens = 5\n",
        "[tokens]\nauckland = \"short\"\n",
        "[tokens]\nauckland = \"" TOKEN_A "\"\notago = \"" TOKEN_A "\"\n",
        "[tokens]\n\"a b\" = \"" TOKEN_A "\"\n",
        "[tokens]\nauckland = \"" TOKEN_A "\n",
    };
    char reason[Fv_REASON_SIZE];

    for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
        reason[0] = '\0';
        CU_ASSERT_PTR_NULL(load_tokens(files[i], reason));
        CU_ASSERT_NOT_EQUAL(strlen(reason), 0);
        CU_ASSERT_PTR_NULL(strstr(reason, "secret"));
        CU_ASSERT_PTR_NULL(strstr(reason, "short"));
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a wrong token is accepted, or one names another member",
         test_token_authenticates_its_member},
        {"an invalid file is accepted, or its error shows a token",
         test_invalid_files_are_rejected},
    };

    return Fv_RUN_SUITE("member", cases);
}
