package ivybank.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The fleet's keys: the current one first, and the one before it where both are good. Signatures are HMAC-SHA256, cut to 16
 * bytes. Used by one thread.
 */
final class PeerKeys {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int LEAST_BYTES = 16;
    private static final int MOST_KEYS = 2;

    private final List<Mac> macs = new ArrayList<>();
    private final int[] marks;
    private final int length;

    private PeerKeys(List<byte[]> keys, int length) {
        this.length = length;
        marks = new int[keys.size()];
        try {
            for (int i = 0; i < marks.length; i++) {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(keys.get(i), ALGORITHM));
                macs.add(mac);
                // What tells keys apart in a datagram must not tell anything of the key.
                marks[i] = mac.doFinal("mark".getBytes(StandardCharsets.US_ASCII))[0] & 0xff;
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime has no " + ALGORITHM, e);
        }
    }

    /**
     * Reads a file of one or two lines, each a key as 32 or more hexadecimal figures; lines that begin with # are passed over.
     *
     * @param length of the signatures
     * @throws IOException in one line that names no key
     */
    static PeerKeys read(Path file, int length) throws IOException {
        List<byte[]> keys = new ArrayList<>();
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new IOException(file + ": can't be read: " + e.getClass().getSimpleName(), e);
        }
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            try {
                byte[] key = HexFormat.of().parseHex(line);
                if (key.length < LEAST_BYTES) {
                    throw new IllegalArgumentException("too short");
                }
                keys.add(key);
            } catch (IllegalArgumentException e) {
                throw new IOException(
                        file + ", line " + (i + 1) + ": a key of " + 2 * LEAST_BYTES
                                + " hexadecimal figures or more is allowed",
                        e);
            }
        }
        if (keys.isEmpty() || keys.size() > MOST_KEYS) {
            throw new IOException(file + ": holds " + keys.size()
                    + " keys: the current one is needed, and the one before it is allowed");
        }
        return new PeerKeys(keys, length);
    }

    /** How the current key is told from others in a datagram. */
    int mark() {
        return marks[0];
    }

    int count() {
        return marks.length;
    }

    /** Which key signs what goes to one who prefers the key of this mark, and was last understood by the given one. */
    int choose(int preferred, int understood) {
        for (int i = 0; i < marks.length; i++) {
            if (marks[i] == preferred) {
                return i;
            }
        }
        return understood >= 0 && understood < marks.length ? understood : 0;
    }

    /** Appends a signature. */
    byte[] sign(byte[] bytes, int key) {
        byte[] signed = Arrays.copyOf(bytes, bytes.length + length);
        System.arraycopy(macs.get(key).doFinal(bytes), 0, signed, bytes.length, length);
        return signed;
    }

    /** Which key has signed it; -1 for none of these. */
    int verify(byte[] signed) {
        if (signed.length <= length) {
            return -1;
        }
        byte[] signature = Arrays.copyOfRange(signed, signed.length - length, signed.length);
        for (int i = 0; i < macs.size(); i++) {
            Mac mac = macs.get(i);
            mac.update(signed, 0, signed.length - length);
            if (MessageDigest.isEqual(Arrays.copyOf(mac.doFinal(), length), signature)) {
                return i;
            }
        }
        return -1;
    }
}
