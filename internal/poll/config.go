package poll

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// ApplyConfig takes the configuration part of an answer into h. What the answer
// says holds until deadline.
func ApplyConfig(h *conf.Holder, rep *wire.SyncReply, deadline time.Time, log *zap.Logger) error {
	h.RecordRevision(rep.Revision)
	if len(rep.Config) > 0 {
		var d conf.Delta
		if err := json.Unmarshal(rep.Config, &d); err != nil {
			return errors.Wrap(err, "configuration delta")
		}
		if err := h.Apply(d); err != nil {
			log.Warn("configuration refused", zap.Uint64("revision", d.Revision), zap.Error(err))
			return err
		}
		log.Info("configuration in force", zap.Uint64("revision", d.Revision))
	}
	h.ExtendFreshnessAt(rep.Revision, deadline)
	return nil
}
