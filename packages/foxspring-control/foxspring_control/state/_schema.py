"""Database schema of the replicated state."""

APPLICATION_ID = 0x466F7853
SCHEMA_VERSION = 1

SCHEMA = """
CREATE TABLE counter (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE configuration (revision INTEGER PRIMARY KEY, body BLOB NOT NULL);
CREATE TABLE answer (
    kind TEXT, who TEXT, change_id TEXT, log_index INTEGER NOT NULL,
    at_ms INTEGER NOT NULL, body BLOB NOT NULL, PRIMARY KEY (kind, who, change_id)
) WITHOUT ROWID;
CREATE INDEX answer_by_index ON answer (log_index);
CREATE TABLE audit (
    log_index INTEGER PRIMARY KEY, at_ms INTEGER NOT NULL, who TEXT NOT NULL,
    change_id TEXT NOT NULL, action TEXT NOT NULL, body BLOB NOT NULL
);
CREATE TABLE job (
    number INTEGER PRIMARY KEY, job_id TEXT NOT NULL UNIQUE, team TEXT NOT NULL,
    ended_ms INTEGER NOT NULL, body BLOB NOT NULL
);
CREATE INDEX job_by_end ON job (ended_ms, number);
CREATE TABLE task (
    task_id TEXT PRIMARY KEY, job_id TEXT NOT NULL, kind TEXT NOT NULL,
    state TEXT NOT NULL, target_id TEXT NOT NULL, body BLOB NOT NULL
) WITHOUT ROWID;
CREATE INDEX task_by_job ON task (job_id);
CREATE INDEX task_by_target ON task (target_id) WHERE target_id <> '';
CREATE INDEX task_by_state ON task (state, kind)
    WHERE state IN ('queued', 'starting', 'running', 'stopping');
CREATE TABLE target (
    target_id TEXT PRIMARY KEY, owner TEXT NOT NULL, version INTEGER NOT NULL,
    capacity BLOB NOT NULL, body BLOB NOT NULL
) WITHOUT ROWID;
CREATE INDEX target_by_capacity ON target (capacity);
CREATE INDEX target_by_version ON target (version);
CREATE TABLE removed_target (
    version INTEGER NOT NULL, target_id TEXT NOT NULL,
    PRIMARY KEY (version, target_id)
) WITHOUT ROWID;
CREATE TABLE entry (entry_id TEXT PRIMARY KEY, body BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE key (
    key TEXT PRIMARY KEY, entry_id TEXT NOT NULL, done INTEGER NOT NULL,
    claimed_ms INTEGER NOT NULL, log_index INTEGER NOT NULL, body BLOB NOT NULL
) WITHOUT ROWID;
CREATE INDEX key_open ON key (entry_id) WHERE done = 0;
CREATE INDEX key_by_index ON key (log_index);
"""

TABLES = (
    "counter",
    "configuration",
    "answer",
    "audit",
    "job",
    "task",
    "target",
    "removed_target",
    "entry",
    "key",
)
"""All tables, in the order in which the digest reads them."""

PRIMARY_KEYS = {
    "counter": "name",
    "configuration": "revision",
    "answer": "kind, who, change_id",
    "audit": "log_index",
    "job": "number",
    "task": "task_id",
    "target": "target_id",
    "removed_target": "version, target_id",
    "entry": "entry_id",
    "key": "key",
}
