package saltstage.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltstage.wire.Json;
import saltstage.wire.MalformedException;

/** The members of one JSON object, read by type; each error names the member and its place. */
final class JsonFields {
    private final Map<String, Object> members;
    private final String place;
    private final Set<String> read = new HashSet<>();

    JsonFields(Map<String, Object> members, String place) {
        this.members = members;
        this.place = place;
    }

    /** The place of a member, for errors. */
    String where(String name) {
        return place + "." + name;
    }

    boolean has(String name) {
        return members.containsKey(name);
    }

    String text(String name) throws MalformedException {
        return typed(name, String.class, "a text");
    }

    boolean truth(String name) throws MalformedException {
        return typed(name, Boolean.class, "true or false");
    }

    double number(String name) throws MalformedException {
        return typed(name, Double.class, "a number");
    }

    /** A whole number from 0 on. */
    long whole(String name, long most) throws MalformedException {
        double value = number(name);
        if (value != Math.rint(value) || value < 0 || value > most) {
            throw new MalformedException(where(name) + " takes a whole number up to " + most);
        }
        return (long) value;
    }

    @SuppressWarnings("unchecked") // each list that the parser makes is one of objects
    List<Object> list(String name, int most) throws MalformedException {
        List<Object> list = (List<Object>) typed(name, List.class, "a list");
        if (list.size() > most) {
            throw new MalformedException(
                    where(name) + " has " + list.size() + " items; " + most + " are taken");
        }
        return list;
    }

    Map<String, Object> object(String name) throws MalformedException {
        return Json.asObject(typed(name, Map.class, "an object"), where(name));
    }

    /** Refuses members that were not read. */
    void end() throws MalformedException {
        for (String name : members.keySet()) {
            if (!read.contains(name)) {
                throw new MalformedException(place + " has an unknown member '" + name + "'");
            }
        }
    }

    private <T> T typed(String name, Class<T> type, String takes) throws MalformedException {
        read.add(name);
        Object value = members.get(name);
        if (!type.isInstance(value)) {
            throw new MalformedException(
                    where(name) + (value == null ? " is missing" : " takes " + takes));
        }
        return type.cast(value);
    }
}
