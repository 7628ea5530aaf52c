package spurroad.testbed.capacity;

/** A table under its title. */
record Section(String title, MarkdownTable table) {
    String markdown() {
        return "### " + title + "\n\n" + table + "\n";
    }
}
