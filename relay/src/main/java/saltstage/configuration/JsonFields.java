package saltstage.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltstage.wire.Json;
import saltstage.wire.MalformedException;

/** Typed access to the members of one JSON object; each error names the path of the member. */
final class JsonFields {
    private final Map<String, Object> members;
    private final String path;
    private final Set<String> readMembers = new HashSet<>();

    JsonFields(Map<String, Object> members, String path) {
        this.members = members;
        this.path = path;
    }

    /** The path of a member, for error messages. */
    String pathOf(String name) {
        return path + "." + name;
    }

    boolean has(String name) {
        return members.containsKey(name);
    }

    String string(String name) throws MalformedException {
        return requireType(name, String.class, "a text");
    }

    boolean bool(String name) throws MalformedException {
        return requireType(name, Boolean.class, "true or false");
    }

    double number(String name) throws MalformedException {
        return requireType(name, Double.class, "a number");
    }

    /** Reads a whole number from 0 to the maximum. */
    long integer(String name, long max) throws MalformedException {
        double value = number(name);
        if (value != Math.rint(value) || value < 0 || value > max) {
            throw new MalformedException(pathOf(name) + " takes a whole number up to " + max);
        }
        return (long) value;
    }

    @SuppressWarnings("unchecked") // the parser creates only lists of Object
    List<Object> list(String name, int max) throws MalformedException {
        List<Object> list = (List<Object>) requireType(name, List.class, "a list");
        if (list.size() > max) {
            throw new MalformedException(
                    pathOf(name) + " has " + list.size() + " items; " + max + " are taken");
        }
        return list;
    }

    Map<String, Object> object(String name) throws MalformedException {
        return Json.asObject(requireType(name, Map.class, "an object"), pathOf(name));
    }

    /** Rejects the object if it has members that were not read. */
    void rejectUnknown() throws MalformedException {
        for (String name : members.keySet()) {
            if (!readMembers.contains(name)) {
                throw new MalformedException(path + " has an unknown member '" + name + "'");
            }
        }
    }

    private <T> T requireType(String name, Class<T> type, String expected)
            throws MalformedException {
        readMembers.add(name);
        Object value = members.get(name);
        if (!type.isInstance(value)) {
            throw new MalformedException(
                    pathOf(name) + (value == null ? " is missing" : " takes " + expected));
        }
        return type.cast(value);
    }
}
