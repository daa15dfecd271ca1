package org.wasabilug.operator.internal.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.operator.ExitCode;
import org.wasabilug.operator.internal.output.OperatorReporter;
import org.wasabilug.operator.internal.output.Printer;

/** Prints the salted hash of a key, but not the key itself. */
public final class HashKeyCommand {
    private final Printer mPrinter;

    /**
     * Creates the command.
     *
     * @param printer prints the hash
     */
    public HashKeyCommand(Printer printer) {
        mPrinter = printer;
    }

    /**
     * Hashes a key and prints salt and hash as JSON.
     *
     * @param key the key; dots and white space are rejected
     * @return the exit code
     */
    public ExitCode run(String key) {
        if (key.isEmpty() || key.chars().anyMatch(each -> each == '.' || each <= ' ')) {
            mPrinter.failure(OperatorReporter.invalidKey());
            return ExitCode.INVALID_USE;
        }
        SaltedHash hash = SaltedHash.of(key, new SecureRandom());
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("salt", hash.salt())
                        .put("hash", hash.hash());
        mPrinter.result(json, json.toString());
        return ExitCode.DONE;
    }
}
