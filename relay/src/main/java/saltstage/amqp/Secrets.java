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
 * Users and their secrets, from a file of lines {@code USER:SECRET}; {@code #} begins a comment.
 */
final class Secrets {
    private static final byte[] NOBODYS = "nobody has this one".getBytes(StandardCharsets.UTF_8);

    private final Map<String, byte[]> secrets = new HashMap<>();

    private Secrets() {}

    /** Nobody is known. */
    static Secrets none() {
        return new Secrets();
    }

    /** Reads the file; what is wrong is said in one line that shows no secret. */
    static Secrets read(Path file) throws MalformedException {
        Secrets read = new Secrets();
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
            if (read.secrets.put(line.substring(0, colon), secret) != null) {
                throw new MalformedException(
                        file + ":" + (i + 1) + ": this user stands there twice");
            }
        }
        return read;
    }

    /** Whether the secret is the user's; takes as long where it is wrong or the user unknown. */
    boolean fits(String user, byte[] secret) {
        byte[] right = secrets.get(user);
        boolean same = MessageDigest.isEqual(right == null ? NOBODYS : right, secret);
        return same && right != null;
    }

    /** How many users there are. */
    int size() {
        return secrets.size();
    }
}
