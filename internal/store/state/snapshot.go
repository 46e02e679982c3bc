package state

import (
	"cmp"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// ChunkSize is the number of bytes of a snapshot that one record holds.
	ChunkSize = 64 << 10
	// chunksPerAppend limits an append to 1 MiB, which is below the message limit of common RPC implementations.
	chunksPerAppend = 16
)

var (
	// ErrNoSnapshot is returned if the log holds no complete snapshot.
	ErrNoSnapshot = errors.New("the log has no complete snapshot")
	// ErrNotNewer is returned for a snapshot that is not above the version of the replica.
	ErrNotNewer = errors.New("the snapshot is not newer than the replica")
)

// Snapshot returns the state as a message.
func (replica *Replica) Snapshot() *recordv1.StateSnapshot {
	replica.mu.Lock()
	view := replica.View()
	replica.versions.prune(view.Version)
	snapshot := &recordv1.StateSnapshot{
		Covers: int64(view.Version), MembershipOffset: int64(view.MembershipOffset), Writers: replica.dedup.Export(),
	}
	for section, keys := range replica.versions {
		for _, version := range keys {
			snapshot.KeyVersions = append(snapshot.KeyVersions, &recordv1.KeyVersion{
				Section: section, Key: version.key, Version: int64(version.offset),
			})
		}
	}
	replica.mu.Unlock()

	// Maps have no order, but equal replicas must give equal snapshots.
	slices.SortFunc(snapshot.KeyVersions, func(a, b *recordv1.KeyVersion) int {
		return cmp.Or(cmp.Compare(a.GetSection(), b.GetSection()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	snapshot.Settings = view.Tree.Text()
	for _, session := range view.Sessions {
		snapshot.Sessions = append(snapshot.Sessions, &recordv1.SnapshotSession{
			Session: int64(session.ID),
			Opened: &recordv1.SessionOpened{
				Instance: string(session.Instance), Zone: string(session.Zone),
				PeerAddress: session.PeerAddress, CallerAddress: session.CallerAddress,
			},
		})
	}
	for _, edit := range view.Edits {
		snapshot.History = append(snapshot.History, edit.ToProto())
	}
	return snapshot
}

// Restore replaces the state by that of a snapshot, which must be newer.
func (replica *Replica) Restore(snapshot *recordv1.StateSnapshot) error {
	settings, err := tree.Parse(snapshot.GetSettings())
	if err != nil {
		return errors.Wrap(err, "settings of the snapshot")
	}
	view := &View{
		Tree:             settings,
		Version:          clementinewind.Offset(snapshot.GetCovers()),
		MembershipOffset: clementinewind.Offset(snapshot.GetMembershipOffset()),
		EndedSince:       clementinewind.Offset(snapshot.GetCovers()),
	}
	for _, session := range snapshot.GetSessions() {
		view.Sessions = append(view.Sessions, sessionOf(clementinewind.Session(session.GetSession()), session.GetOpened()))
	}
	for _, entry := range snapshot.GetHistory() {
		view.Edits = append(view.Edits, Edit{
			Version: clementinewind.Offset(entry.GetVersion()), Time: time.UnixMilli(entry.GetTimeMillis()),
			Who: entry.GetWho(), Why: entry.GetWhy(), Changes: ChangesFromProto(entry.GetChanges()),
			Accepted: entry.GetAccepted(), Conflict: entry.GetConflict(),
		})
	}
	versions := keyVersions{}
	for _, version := range snapshot.GetKeyVersions() {
		versions.set(version.GetSection(), version.GetKey(), clementinewind.Offset(version.GetVersion()))
	}
	dedup := plog.NewDedup(0)
	dedup.Restore(snapshot.GetWriters())

	replica.mu.Lock()
	defer replica.mu.Unlock()
	if current := replica.View().Version; view.Version <= current {
		return errors.Wrapf(ErrNotNewer, "snapshot covers %d, replica is at %d", view.Version, current)
	}
	replica.versions, replica.dedup = versions, dedup
	replica.publish(view)
	return nil
}

// ToProto returns the edit as an entry of the operator API's history.
func (edit Edit) ToProto() *operatorv1.HistoryEntry {
	return &operatorv1.HistoryEntry{
		Version: int64(edit.Version), TimeMillis: edit.Time.UnixMilli(), Who: edit.Who, Why: edit.Why,
		Changes: ChangesToProto(edit.Changes), Accepted: edit.Accepted, Conflict: edit.Conflict,
	}
}

// WriteSnapshot appends a snapshot in chunks. Every call uses a new random writer id, so that a failed write can be
// repeated without a reader mixing the chunks of both attempts.
func WriteSnapshot(ctx context.Context, log clementinewind.Log, snapshot *recordv1.StateSnapshot) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	writer, checksum := rand.Uint64(), checksumOf(snapshot.GetCovers(), data)
	var records []clementinewind.Record
	for chunk := range slices.Chunk(data, ChunkSize) {
		payload, err := proto.Marshal(&recordv1.SnapshotRecord{
			Covers: snapshot.GetCovers(), Chunk: int32(len(records)), Chunks: int32((len(data) + ChunkSize - 1) / ChunkSize),
			Data: chunk, Checksum: checksum,
		})
		if err != nil {
			return errors.Wrap(err, "encode chunk of snapshot")
		}
		records = append(records, clementinewind.Record{Writer: writer, Sequence: uint64(len(records)) + 1, Payload: payload})
	}
	for batch := range slices.Chunk(records, chunksPerAppend) {
		if _, err := log.Append(ctx, clementinewind.SnapshotStream, batch); err != nil {
			return errors.Wrap(err, "append chunks of snapshot")
		}
	}
	return nil
}

// partialSnapshot collects the chunks of one snapshot.
type partialSnapshot struct {
	covers   int64
	checksum uint64
	chunks   [][]byte
	missing  int
}

// ReadSnapshot returns the newest complete snapshot of the log. It skips incomplete and corrupt ones.
func ReadSnapshot(ctx context.Context, log clementinewind.Log) (*recordv1.StateSnapshot, error) {
	partials := map[uint64]*partialSnapshot{}
	var newest *recordv1.StateSnapshot
	oldest, _, err := plog.Bounds(ctx, log, clementinewind.SnapshotStream)
	if err != nil {
		return nil, errors.Wrap(err, "read snapshots")
	}
	query := clementinewind.LogQuery{Stream: clementinewind.SnapshotStream, From: oldest}
	for {
		batch, err := log.Read(ctx, query)
		if err != nil {
			return nil, errors.Wrap(err, "read snapshots")
		}
		for _, record := range batch.Records {
			if snapshot := addChunk(partials, record); snapshot != nil && snapshot.GetCovers() > newest.GetCovers() {
				newest = snapshot
			}
		}
		query.From = batch.Next()
		if query.From >= batch.Tail || len(batch.Records) == 0 {
			break
		}
	}
	if newest == nil {
		return nil, ErrNoSnapshot
	}
	return newest, nil
}

// addChunk adds a chunk and returns the decoded snapshot if it is now complete.
func addChunk(partials map[uint64]*partialSnapshot, record clementinewind.Record) *recordv1.StateSnapshot {
	var chunk recordv1.SnapshotRecord
	if err := proto.Unmarshal(record.Payload, &chunk); err != nil || chunk.GetChunk() < 0 || chunk.GetChunk() >= chunk.GetChunks() {
		return nil
	}
	found, ok := partials[record.Writer]
	if !ok {
		found = &partialSnapshot{covers: chunk.GetCovers(), checksum: chunk.GetChecksum(), missing: int(chunk.GetChunks())}
		partials[record.Writer] = found
	}
	// The slice grows with the chunks that arrive, so a corrupt number of chunks cannot cause a large allocation.
	for len(found.chunks) <= int(chunk.GetChunk()) && len(found.chunks) <= int(record.Sequence) {
		found.chunks = append(found.chunks, nil)
	}
	if int(chunk.GetChunk()) >= len(found.chunks) || found.chunks[chunk.GetChunk()] != nil {
		return nil
	}
	found.chunks[chunk.GetChunk()] = chunk.GetData()
	if found.missing--; found.missing > 0 {
		return nil
	}
	delete(partials, record.Writer)
	data := slices.Concat(found.chunks...)
	var snapshot recordv1.StateSnapshot
	if checksumOf(found.covers, data) != found.checksum || proto.Unmarshal(data, &snapshot) != nil ||
		snapshot.GetCovers() != found.covers {
		return nil
	}
	return &snapshot
}

func checksumOf(covers int64, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(covers)))
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// CatchUp brings a replica to the end of the control stream, starting from the newest snapshot if it is newer than the
// replica. It also recovers a replica whose next record is no longer retained by the log.
func CatchUp(ctx context.Context, log clementinewind.Log, replica *Replica) (plog.Freshness, error) {
	snapshot, err := ReadSnapshot(ctx, log)
	switch {
	case errors.Is(err, ErrNoSnapshot):
	case err != nil:
		return plog.Freshness{}, err
	default:
		if err := replica.Restore(snapshot); err != nil && !errors.Is(err, ErrNotNewer) {
			return plog.Freshness{}, err
		}
	}
	for {
		freshness, err := replica.Read(ctx, log, 0)
		if err != nil {
			return plog.Freshness{}, errors.Wrap(err, "read control stream")
		}
		if freshness.AtTail() {
			return freshness, nil
		}
	}
}
