package saltstage.amqp;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltstage.wire.MalformedException;

/**
 * Users and their secrets, read from a file of lines {@code USER:SECRET}. A line that starts with
 * {@code #} is a comment.
 */
final class UserSecrets {
    private static final byte[] UNKNOWN_USER_SECRET =
            "nobody has this one".getBytes(StandardCharsets.UTF_8);

    private final Map<String, byte[]> secretsByUser = new HashMap<>();

    private UserSecrets() {}

    /** Creates an instance without users. */
    static UserSecrets empty() {
        return new UserSecrets();
    }

    /** Reads the file; an error is reported in one line that contains no secret. */
    static UserSecrets read(Path file) throws MalformedException {
        UserSecrets secrets = new UserSecrets();
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new MalformedException("amqp: cannot read the secrets in " + file);
        }
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            int colon = line.indexOf(':');
            if (colon < 1 || colon == line.length() - 1) {
                throw new MalformedException(file + ":" + (i + 1) + ": a line is USER:SECRET");
            }
            byte[] secret = line.substring(colon + 1).getBytes(StandardCharsets.UTF_8);
            if (secrets.secretsByUser.put(line.substring(0, colon), secret) != null) {
                throw new MalformedException(
                        file + ":" + (i + 1) + ": this user stands there twice");
            }
        }
        return secrets;
    }

    /**
     * Whether the secret is the user's. The comparison takes as long for an unknown user as for a
     * wrong secret, so that its duration does not reveal which users exist.
     */
    boolean matches(String user, byte[] secret) {
        byte[] expected = secretsByUser.get(user);
        boolean equal =
                MessageDigest.isEqual(expected == null ? UNKNOWN_USER_SECRET : expected, secret);
        return equal && expected != null;
    }

    /** The number of users. */
    int size() {
        return secretsByUser.size();
    }
}
