package io.heatherloft.ports.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * Parses JSON into Jackson's tree model, and writes it.
 *
 * <p>Gives the same trees and texts as Jackson's {@code ObjectMapper} but does not use it, because creating a mapper loads
 * calendars and locales, which blocks the loop of a host with a third of a core for more than a second. The nodes'
 * {@code toString} creates a mapper as well. Stateless and safe for use by several threads.
 */
public final class JsonTree {
    // Bounds the recursion in this class, which must fit on the stack of the loop's thread.
    private static final int MAX_NESTING_DEPTH = 32;
    private static final int MAX_NUMBER_LENGTH = 400;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /** Returns an empty object. */
    public static ObjectNode newObject() {
        return NODES.objectNode();
    }

    /**
     * Parses the first value of the text; returns a missing node if the text is blank.
     *
     * @throws IOException if the text is not valid JSON, or nested deeper than 32 levels
     */
    public static JsonNode read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            return first == null ? MissingNode.getInstance() : readValue(parser, first);
        }
    }

    /** Returns the value as JSON text. */
    public static String write(JsonNode value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            writeValue(generator, value);
        } catch (IOException exception) {
            throw new UncheckedIOException("value of type " + value.getNodeType() + " cannot be written", exception);
        }
        return text.toString();
    }

    private static void writeValue(JsonGenerator generator, JsonNode value) throws IOException {
        switch (value.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (Map.Entry<String, JsonNode> field : value.properties()) {
                    generator.writeFieldName(field.getKey());
                    writeValue(generator, field.getValue());
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : value) {
                    writeValue(generator, element);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(value.textValue());
            case NUMBER -> generator.writeNumber(value.asText());
            case BOOLEAN -> generator.writeBoolean(value.booleanValue());
            case NULL -> generator.writeNull();
            default -> throw new IOException("unexpected " + value.getNodeType());
        }
    }

    private static JsonNode readValue(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new IOException("unexpected " + token + " in JSON");
        };
    }

    private static JsonNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            object.set(name, readValue(parser, parser.nextToken()));
        }
        return object;
    }

    private static JsonNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            array.add(readValue(parser, token));
            token = parser.nextToken();
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }
}
